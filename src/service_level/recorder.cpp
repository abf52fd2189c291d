#include "service_level/recorder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string_view>

namespace orchidgw::service_level {
namespace {

constexpr std::size_t kRowsMost = 1'000'000;

std::vector<std::string_view> cells_of(std::string_view line) {
  std::vector<std::string_view> out;
  while (true) {
    const auto comma = line.find(',');
    out.push_back(line.substr(0, comma));
    if (comma == std::string_view::npos) return out;
    line.remove_prefix(comma + 1);
  }
}

template <typename Number>
std::optional<Number> number_in(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

[[noreturn]] void wrong(std::size_t line, const std::string& why) {
  throw std::runtime_error("line " + std::to_string(line) + ": " + why);
}

}  // namespace

std::string column_of(const SignalKey& key) {
  const auto word = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
  return std::string(name_of(key.signal)) + "/" + word(key.class_name) + "/" + word(key.tenant) + "/" +
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
  if (samples_.size() < kSamplesMost) {
    samples_.push_back(std::move(sample));
    return;
  }
  samples_[next_] = std::move(sample);
  next_ = (next_ + 1) % kSamplesMost;
}

void Recorder::write(std::ostream& out, const std::string& prefix) const {
  out << prefix << "time_ms";
  for (const SignalKey& key : keys_) out << ',' << column_of(key);
  out << '\n';
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    const Sample& sample = samples_[(next_ + i) % samples_.size()];
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
  if (!std::getline(in, line)) wrong(1, "empty: a first line with the signals' names is wanted");
  for (const std::string_view cell : cells_of(line)) columns_.emplace_back(cell);
  if (columns_[0] != "time_ms") wrong(1, "the first column must be time_ms");
  for (std::size_t n = 2; std::getline(in, line); ++n) {
    if (line.empty()) continue;
    if (rows_.size() >= kRowsMost) wrong(n, "more than a million samples");
    const auto cells = cells_of(line);
    if (cells.size() != columns_.size())
      wrong(n, std::to_string(columns_.size()) + " values are wanted, " + std::to_string(cells.size()) +
                   " stand here");
    const auto ms = number_in<std::int64_t>(cells[0]);
    if (!ms) wrong(n, "time_ms is no whole number");
    if (!times_.empty() && *ms * 1000 < times_.back()) wrong(n, "the time goes back");
    std::vector<std::optional<double>> row;
    for (std::size_t i = 1; i < cells.size(); ++i) {
      const auto value = number_in<double>(cells[i]);
      if (!cells[i].empty() && (!value || !std::isfinite(*value))) wrong(n, columns_[i] + " is no number");
      row.push_back(value);
    }
    times_.push_back(*ms * 1000);
    rows_.push_back(std::move(row));
  }
}

bool Recording::next() {
  if (at_ >= rows_.size()) return false;
  ++at_;
  return true;
}

bool Recording::has(const SignalKey& key) const {
  return std::find(columns_.begin(), columns_.end(), column_of(key)) != columns_.end();
}

std::optional<double> Recording::value(TimeUs, const SignalKey& key) const {
  const auto it = std::find(columns_.begin(), columns_.end(), column_of(key));
  if (it == columns_.end()) return std::nullopt;
  return rows_[at_ - 1][static_cast<std::size_t>(it - columns_.begin()) - 1];
}

}  // namespace orchidgw::service_level
