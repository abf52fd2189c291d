#include "fault_switch.h"

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <new>
#include <stdexcept>

namespace orchidgw::faults {

std::map<std::string, std::string> preload_environment() {
  // The check of the link order is off: a sanitized program would not start with a library loaded before its
  // sanitizer runtime.
  return {{"LD_PRELOAD", ORCHIDGW_FAULT_LIBRARY}, {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
}

FaultInjector::FaultInjector() {
  std::string file_name = (std::filesystem::temp_directory_path() / "orchidgw-faults-XXXXXX").string();
  const int fd = ::mkstemp(file_name.data());
  path_ = file_name;
  if (fd < 0 || ::ftruncate(fd, sizeof(FaultPage)) != 0)
    throw std::runtime_error("cannot create the file for the fault page");
  void* address = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (address == MAP_FAILED) throw std::runtime_error("cannot map the file for the fault page");
  page_ = new (address) FaultPage;
}

FaultInjector::~FaultInjector() {
  ::munmap(page_, sizeof(FaultPage));
  std::filesystem::remove(path_);
}

std::map<std::string, std::string> FaultInjector::environment() const {
  auto variables = preload_environment();
  variables[kPageVariable] = path_.string();
  return variables;
}

void FaultInjector::set_open_path_end(const std::string& text) {
  if (text.size() >= page_->open_path_end.size()) throw std::runtime_error("the path is too long");
  page_->open_path_end.fill(0);
  std::copy(text.begin(), text.end(), page_->open_path_end.begin());
}

void FaultInjector::clear_rates() {
  for (auto& rate : page_->per_million) rate = 0;
}

}  // namespace orchidgw::faults
