#include "service_level/recorder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string_view>

namespace orchidgw::service_level {
namespace {

constexpr std::size_t kMaxRows = 1'000'000;

std::vector<std::string_view> split_cells(std::string_view line) {
  std::vector<std::string_view> out;
  while (true) {
    const auto comma = line.find(',');
    out.push_back(line.substr(0, comma));
    if (comma == std::string_view::npos) return out;
    line.remove_prefix(comma + 1);
  }
}

template <typename Number>
std::optional<Number> parse_cell(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

[[noreturn]] void fail_at_line(std::size_t line, const std::string& why) {
  throw std::runtime_error("line " + std::to_string(line) + ": " + why);
}

}  // namespace

std::string column_name(const SignalKey& key) {
  const auto or_dash = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
  return std::string(name_of(key.signal)) + "/" + or_dash(key.class_name) + "/" + or_dash(key.tenant) + "/" +
         std::to_string(key.window / 1000);
}

void Recorder::record(TimeUs now, const SignalView& view) {
  Sample sample;
  sample.at = now;
  sample.values.reserve(keys_.size());
  for (const SignalKey& key : keys_) {
    const auto value = view.value(now, key);
    sample.values.push_back(value ? std::optional<float>(static_cast<float>(*value)) : std::nullopt);
  }
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(std::move(sample));
    return;
  }
  samples_[next_slot_] = std::move(sample);
  next_slot_ = (next_slot_ + 1) % kMaxSamples;
}

void Recorder::write(std::ostream& out, const std::string& prefix) const {
  out << prefix << "time_ms";
  for (const SignalKey& key : keys_) out << ',' << column_name(key);
  out << '\n';
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    const Sample& sample = samples_[(next_slot_ + i) % samples_.size()];
    out << prefix << sample.at / 1000;
    for (const auto& value : sample.values) {
      out << ',';
      if (value) out << *value;
    }
    out << '\n';
  }
}

Recording::Recording(std::istream& in) {
  std::string line;
  if (!std::getline(in, line)) fail_at_line(1, "empty: expected a first line with the signals' names");
  for (const std::string_view cell : split_cells(line)) columns_.emplace_back(cell);
  if (columns_[0] != "time_ms") fail_at_line(1, "the first column must be time_ms");
  for (std::size_t line_number = 2; std::getline(in, line); ++line_number) {
    if (line.empty()) continue;
    if (rows_.size() >= kMaxRows) fail_at_line(line_number, "more than 1000000 samples");
    const auto cells = split_cells(line);
    if (cells.size() != columns_.size())
      fail_at_line(line_number, std::to_string(columns_.size()) + " values expected, " +
                                    std::to_string(cells.size()) + " found");
    const auto time_ms = parse_cell<std::int64_t>(cells[0]);
    if (!time_ms) fail_at_line(line_number, "time_ms is not a whole number");
    if (!times_.empty() && *time_ms * 1000 < times_.back())
      fail_at_line(line_number, "the time goes backwards");
    std::vector<std::optional<double>> row;
    for (std::size_t i = 1; i < cells.size(); ++i) {
      const auto value = parse_cell<double>(cells[i]);
      if (!cells[i].empty() && (!value || !std::isfinite(*value)))
        fail_at_line(line_number, columns_[i] + " is not a number");
      row.push_back(value);
    }
    times_.push_back(*time_ms * 1000);
    rows_.push_back(std::move(row));
  }
}

bool Recording::next() {
  if (rows_read_ >= rows_.size()) return false;
  ++rows_read_;
  return true;
}

bool Recording::has(const SignalKey& key) const {
  return std::find(columns_.begin(), columns_.end(), column_name(key)) != columns_.end();
}

std::optional<double> Recording::value(TimeUs, const SignalKey& key) const {
  const auto it = std::find(columns_.begin(), columns_.end(), column_name(key));
  if (it == columns_.end()) return std::nullopt;
  return rows_[rows_read_ - 1][static_cast<std::size_t>(it - columns_.begin()) - 1];
}

}  // namespace orchidgw::service_level
