// orchidgw_sim: the decision module on the simulator's wire; reads standard input, writes standard output.
#include <iostream>
#include <string>

#include "sim/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  orchidgw::sim::Host host(std::cerr);
  for (std::string line; std::getline(std::cin, line);)
    std::cout << host.handle_line(line) << '\n' << std::flush;
  return 0;
}
