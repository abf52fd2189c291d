#include "fault_switch.h"

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

namespace orchidgw::faults {

std::map<std::string, std::string> preload_environment() {
  // A sanitized program wants its own runtime first, and else does not start.
  return {{"LD_PRELOAD", ORCHIDGW_FAULT_LIBRARY}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

FaultSwitch::FaultSwitch() {
  std::string name = (std::filesystem::temp_directory_path() / "orchidgw-faults-XXXXXX").string();
  const int fd = ::mkstemp(name.data());
  path_ = name;
  if (fd < 0 || ::ftruncate(fd, sizeof(FaultPage)) != 0) throw std::runtime_error("no file for faults");
  void* at = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (at == MAP_FAILED) throw std::runtime_error("the file for faults can't be mapped");
  page_ = new (at) FaultPage;
}

FaultSwitch::~FaultSwitch() {
  ::munmap(page_, sizeof(FaultPage));
  std::filesystem::remove(path_);
}

std::map<std::string, std::string> FaultSwitch::environment() const {
  auto all = preload_environment();
  all[kPageVariable] = path_.string();
  return all;
}

void FaultSwitch::clear_rates() {
  for (auto& rate : page_->per_million) rate = 0;
}

}  // namespace orchidgw::faults
