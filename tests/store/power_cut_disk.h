// A disk below LMDB: every write and sync of one file is recorded as the library makes it (its calls are
// taken over in this program alone), and the file is put together again as a power cut may have left it. What
// was synced is there; of what was written since, each sector is there or not, in any order.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace orchidgw::store {

inline constexpr std::size_t kSector = 512;  // written whole or not at all, as disks promise

struct DiskStep {
  enum class Kind { kWrite, kSync };
  Kind kind = Kind::kWrite;
  bool durable = false;  // a write that is a sync of its own bytes (O_DSYNC)
  std::uint64_t at = 0;
  std::string bytes;
};

// While one is there, the steps on files whose name ends in `suffix` are recorded.
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

// The file as it may be found where the power went within step number `cut`.
std::string after_power_cut(std::string before, const std::vector<DiskStep>& steps, std::size_t cut,
                            std::mt19937_64& random);

}  // namespace orchidgw::store
