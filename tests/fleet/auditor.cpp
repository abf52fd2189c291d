#include "auditor.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace orchidgw::integration {
namespace {

// Parses "LEASE+CUT_OFF/TOTAL", such as "123+45/1000"; false if the text has another form.
bool read_part(const std::string& text, LeaseLine::Part& part) {
  char plus = 0;
  char slash = 0;
  std::istringstream in(text);
  return static_cast<bool>(in >> part.lease >> plus >> part.cut_off >> slash >> part.total) && plus == '+' &&
         slash == '/';
}

// What a process may use of an allowance at `at`, by its last line up to then; -1 if it is not running then.
std::int64_t usable(const ProcessRecord& record, const std::string& allowance, std::int64_t at) {
  if (record.ended_at > 0 && at >= record.ended_at) return -1;
  const LeaseLine* last = nullptr;
  for (const LeaseLine& line : record.lines)
    if (line.from <= at) last = &line;
  if (last == nullptr) return -1;
  const auto it = last->parts.find(allowance);
  if (it == last->parts.end()) return 0;
  return it->second.cut_off + (at < last->until ? it->second.lease : 0);
}

}  // namespace

std::vector<LeaseLine> lease_lines(const std::string& output) {
  std::vector<LeaseLine> out;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = output.find('\n', at);
    if (end == std::string::npos) return out;
    const std::string text = output.substr(at, end - at);
    at = end + 1;
    const auto begin = text.find(": lease ");
    if (begin == std::string::npos) continue;
    std::istringstream in(text.substr(begin + 2));
    LeaseLine line;
    std::string word;
    in >> word >> line.number >> word >> line.from >> word >> line.until >> word >> line.revision;
    if (!in || word != "revision") continue;
    std::string part;
    while (in >> word >> part && read_part(part, line.parts[word])) continue;
    std::erase_if(line.parts, [](const auto& one) { return one.second.total == 0; });
    out.push_back(std::move(line));
  }
}

Audit audit(const std::vector<ProcessRecord>& records, int max_controllers) {
  Audit out;
  std::set<std::int64_t> moments;  // a sum rises only when a lease line takes effect
  std::map<std::string, LeaseLine::Part> allowances;
  for (const ProcessRecord& record : records) {
    for (const LeaseLine& line : record.lines) {
      moments.insert(line.from);
      for (const auto& [name, part] : line.parts) {
        LeaseLine::Part& known = allowances[name];
        known.total = std::max(known.total, part.total);
        known.cut_off = std::max(known.cut_off, part.cut_off);
      }
    }
  }
  for (const std::int64_t at : moments) {
    for (const auto& [name, terms] : allowances) {
      std::int64_t sum = 0;
      int present = 0;
      for (const ProcessRecord& record : records) {
        const std::int64_t part = usable(record, name, at);
        if (part < 0) continue;
        ++present;
        sum += part;
      }
      sum += std::max(max_controllers - present, 0) * terms.cut_off;
      out.largest_sums[name] = std::max(out.largest_sums[name], sum);
      if (sum > terms.total && out.violation.empty())
        out.violation = name + ": " + std::to_string(sum) + " of " + std::to_string(terms.total) + " at " +
                        std::to_string(at);
    }
    ++out.moments;
  }
  return out;
}

}  // namespace orchidgw::integration
