// libFuzzer target: reads any bytes as an operator file. A file that is accepted must pass through the
// checks, the index of routes and a lookup.
#include <cstddef>
#include <cstdint>
#include <string>

#include "limits/check.h"
#include "limits/limit_set.h"
#include "operator_file/operator_file.h"

namespace {

orchidgw::Settings settings() {
  orchidgw::Settings s;
  orchidgw::ClassSettings c;
  c.name = "lookup";
  c.deadline = 8'000'000;
  c.effect = orchidgw::Effect::kIdempotent;
  s.classes = {c};
  s.tenants = {{"acme", 1, 100}};
  s.limits.max_attempts = 3;
  s.limits.second_copies = true;
  return s;
}

void check_text(const std::string& text) {
  static const orchidgw::Settings kSettings = settings();
  const auto read = orchidgw::operator_file::read_operator_file(text);
  for (const auto& fault : read.faults)
    if (orchidgw::operator_file::fault_line("f", fault).empty()) __builtin_trap();
  if (!read.faults.empty()) return;
  if (!orchidgw::limits::check(kSettings, read.file.limits, 1'000).empty()) return;
  const orchidgw::limits::LimitSet set(kSettings, read.file.limits, 1);
  if (!set.find(0, "acme", "sales_1.orders", true)) __builtin_trap();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  check_text(text);
  check_text("version: 1\n" + text + "\n...\n");  // with the version and the end marker that each file needs
  return 0;
}
