// A stream buffer over a descriptor that never waits for who reads it: whole lines are kept up to a bound and
// written as far as they go; past the bound lines are dropped and counted.
#pragma once

#include <cstdint>
#include <streambuf>
#include <string>

namespace orchidgw::log {

class BoundedOutput final : public std::streambuf {
 public:
  // `fd` stays the caller's. `most`: bytes kept while nobody reads.
  explicit BoundedOutput(int fd, std::size_t most = std::size_t{256} * 1024);
  ~BoundedOutput() override;
  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  std::uint64_t dropped_lines() const { return dropped_; }
  std::size_t kept_bytes() const { return kept_.size() - written_; }

 protected:
  int sync() override;
  int overflow(int c) override;
  std::streamsize xsputn(const char* bytes, std::streamsize n) override;

 private:
  void keep_line();
  void write_some();
  bool can_write(int wait_ms) const;

  int fd_;
  bool own_fd_ = false;  // opened anew, so that its flags are ours alone
  std::size_t most_;
  std::string line_;  // the one that is not whole yet
  std::string kept_;  // whole lines; up to `written_` they are out
  std::size_t written_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t told_ = 0;  // of the dropped ones
};

}  // namespace orchidgw::log
