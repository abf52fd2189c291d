// A disk below LMDB: records every write and sync that the library makes on one file (the C library's
// functions are replaced in this program only), and rebuilds the file as a power cut may leave it. Synced
// writes are there; of later writes each sector may be there or not, applied in any order.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace orchidgw::store {

inline constexpr std::size_t kSector = 512;  // bytes; disks write a sector whole or not at all

struct DiskStep {
  enum class Kind { kWrite, kSync };
  Kind kind = Kind::kWrite;
  bool durable = false;  // a write with O_DSYNC, which syncs its own bytes
  std::uint64_t at = 0;  // offset in the file
  std::string bytes;
};

// While it exists, records the steps on files whose path ends in `suffix`. One at a time.
class DiskRecorder {
 public:
  explicit DiskRecorder(std::string suffix);
  ~DiskRecorder();
  DiskRecorder(const DiskRecorder&) = delete;
  DiskRecorder& operator=(const DiskRecorder&) = delete;
  const std::vector<DiskStep>& steps() const { return steps_; }

 private:
  friend struct DiskHooks;
  std::string suffix_;
  std::vector<DiskStep> steps_;
};

// The file's content as it may be found after a power cut during step number `cut`, chosen by `random`.
// `before`: its content before the first step.
std::string after_power_cut(std::string before, const std::vector<DiskStep>& steps, std::size_t cut,
                            std::mt19937_64& random);

}  // namespace orchidgw::store
