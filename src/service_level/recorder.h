// The last samples of all signals, in a bounded ring, and their form as CSV: what `level replay` reads. No
// I/O but on streams that are given.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "service_level/meters.h"

namespace orchidgw::service_level {

// A signal's name in the CSV's first line: signal, class, tenant and window in ms, '/' between, '-' for all.
std::string column_of(const SignalKey& key);

class Recorder {
 public:
  static constexpr std::size_t kSamplesMost = 480;  // two minutes

  explicit Recorder(std::vector<SignalKey> keys) : keys_(std::move(keys)) {}

  void record(TimeUs now, const SignalView& view);
  // Oldest first; `prefix` stands before each line. A value that could not be told is left empty.
  void write(std::ostream& out, const std::string& prefix) const;
  std::size_t samples() const { return samples_.size(); }

 private:
  struct Sample {
    TimeUs at = 0;
    std::vector<std::optional<float>> values;
  };
  std::vector<SignalKey> keys_;
  std::vector<Sample> samples_;
  std::size_t next_ = 0;  // to be overwritten, once all are in use
};

// A recording, a sample at a time.
class Recording final : public SignalView {
 public:
  // Throws std::runtime_error naming the line and what is wrong with it: a line that is not like the first, a
  // value that is no number, a time that goes back.
  explicit Recording(std::istream& in);

  bool next();  // false: no more
  TimeUs at() const { return times_[at_ - 1]; }
  // A signal that the recording lacks can't be told.
  std::optional<double> value(TimeUs now, const SignalKey& key) const override;
  bool has(const SignalKey& key) const;

 private:
  std::vector<std::string> columns_;
  std::vector<TimeUs> times_;
  std::vector<std::vector<std::optional<double>>> rows_;
  std::size_t at_ = 0;
};

}  // namespace orchidgw::service_level
