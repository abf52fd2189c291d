// Parses the lease lines that every process logged (`lease N from T until U ...`, timed by CLOCK_BOOTTIME,
// which all processes of the machine share) and checks that their sum never exceeds the total of an
// allowance.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orchidgw::integration {

// One lease line: what the process may use from `from` on. The leased part ends at `until`, the cut-off part
// stays.
struct LeaseLine {
  struct Part {
    std::int64_t lease = 0;
    std::int64_t cut_off = 0;
    std::int64_t total = 0;
  };
  std::uint64_t number = 0;
  std::int64_t from = 0;   // us, CLOCK_BOOTTIME
  std::int64_t until = 0;  // us, end of the lease
  std::uint64_t revision = 0;
  std::map<std::string, Part> parts;
};

// Returns all lease lines of a process's output; an incomplete last line is ignored.
std::vector<LeaseLine> lease_lines(const std::string& output);

// One process from its start to its end; after its end it uses nothing.
struct ProcessRecord {
  std::string name;
  std::int64_t ended_at = 0;  // us, CLOCK_BOOTTIME; 0: still running
  std::vector<LeaseLine> lines;
};

struct Audit {
  std::string violation;    // the first sum that exceeded its total; empty: there was none
  std::size_t moments = 0;  // how many points in time were checked
  std::map<std::string, std::int64_t> largest_sums;  // by allowance
};

// `max_controllers`: how many controllers there may be; each one that is not running counts with its cut-off
// part.
Audit audit(const std::vector<ProcessRecord>& records, int max_controllers);

}  // namespace orchidgw::integration
