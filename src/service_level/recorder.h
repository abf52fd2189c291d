// Keeps the last samples of all signals in a ring of fixed size, and writes and reads them as CSV, which
// `level replay` takes. No I/O except on the streams that callers pass.
#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "service_level/meters.h"

namespace orchidgw::service_level {

// A signal's column name in the CSV header: signal, class, tenant and window in ms, separated by '/'; '-'
// means all.
std::string column_name(const SignalKey& key);

class Recorder {
 public:
  static constexpr std::size_t kMaxSamples = 480;  // two minutes

  explicit Recorder(std::vector<SignalKey> keys) : keys_(std::move(keys)) {}

  void record(TimeUs now, const SignalView& view);
  // Writes CSV, oldest sample first, each line with `prefix` before it. An unknown value is an empty cell.
  void write(std::ostream& out, const std::string& prefix) const;
  std::size_t samples() const { return samples_.size(); }

 private:
  struct Sample {
    TimeUs at = 0;
    std::vector<std::optional<float>> values;
  };
  std::vector<SignalKey> keys_;
  std::vector<Sample> samples_;
  std::size_t next_slot_ = 0;  // overwritten next once all slots are used: the oldest sample
};

// Signals read from a recorded CSV, one sample at a time.
class Recording final : public SignalView {
 public:
  // Reads all of `in`. Throws std::runtime_error with the line and its fault: a number of cells other than
  // the header's, a value that is not a number, a time before the last one.
  explicit Recording(std::istream& in);

  bool next();  // moves to the next sample, the first at the first call; false: there is none
  TimeUs at() const { return times_[rows_read_ - 1]; }
  // Of the current sample, whatever `now` is; nothing: the cell is empty or the signal is not recorded.
  std::optional<double> value(TimeUs now, const SignalKey& key) const override;
  bool has(const SignalKey& key) const;

 private:
  std::vector<std::string> columns_;
  std::vector<TimeUs> times_;
  std::vector<std::vector<std::optional<double>>> rows_;
  std::size_t rows_read_ = 0;
};

}  // namespace orchidgw::service_level
