// Reads what every process wrote of its leases (`lease N from T until U ...`, on the machine's one clock) and
// holds their sum against the whole at every moment.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orchidgw::integration {

// One line: from then on this much may be used, the lease's part until its end.
struct LeaseLine {
  struct Part {
    std::int64_t lease = 0;
    std::int64_t cut_off = 0;
    std::int64_t total = 0;
  };
  std::uint64_t number = 0;
  std::int64_t from = 0;   // us, CLOCK_BOOTTIME
  std::int64_t until = 0;  // of the lease
  std::uint64_t revision = 0;
  std::map<std::string, Part> parts;
};

// All lease lines of a process's output; a last line that is not whole is left.
std::vector<LeaseLine> lease_lines(const std::string& output);

// One process from its start to its end; what it may use ends with it.
struct ProcessRecord {
  std::string name;
  std::int64_t ended_at = 0;  // 0: it runs
  std::vector<LeaseLine> lines;
};

struct Audit {
  std::string violation;                             // empty: the sum held at every moment
  std::size_t moments = 0;                           // looked at
  std::map<std::string, std::int64_t> largest_sums;  // the largest sum seen, by allowance
};

// `largest`: controllers there may be; those that are not there count with their cut-off part.
Audit audit(const std::vector<ProcessRecord>& records, int max_controllers);

}  // namespace orchidgw::integration
