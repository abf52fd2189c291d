// The starts of queries under one idempotency key. A client's tries of one request carry the same key, and
// each try is a query of its own.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "decision/permission.h"

namespace orchidgw {

// The starts that may have run. Of queries that are over only the earliest is kept: the time for which
// engines recognise a repeat, and the engines that do, follow from it.
class KeyStarts {
 public:
  void add(QueryId query, int attempt, TimeUs sent_at, const EngineEntry& engine) {
    starts_.push_back({query, attempt, sent_at, engine.zone, engine.cell, false});
  }

  // The attempt has ended, and nothing of it ran.
  void remove(QueryId query, int attempt) {
    std::erase_if(starts_, [=](const Start& start) {
      return start.query == query && start.attempt == attempt && !start.query_over;
    });
  }

  void query_ended(QueryId query) {
    for (Start& start : starts_) start.query_over = start.query_over || start.query == query;
    const Start* earliest = nullptr;
    for (const Start& start : starts_)
      if (start.query_over && (earliest == nullptr || start.sent_at < earliest->sent_at)) earliest = &start;
    if (earliest == nullptr) return;
    const Start kept = *earliest;
    std::erase_if(starts_, [](const Start& start) { return start.query_over; });
    starts_.push_back(kept);
  }

  // The earliest start by another query; nullopt: none. Valid until the next change.
  std::optional<EarlierAttempt> first_of_others(QueryId query) const {
    const Start* earliest = nullptr;
    for (const Start& start : starts_) {
      if (start.query == query && !start.query_over) continue;
      if (earliest == nullptr || start.sent_at < earliest->sent_at) earliest = &start;
    }
    if (earliest == nullptr) return std::nullopt;
    return EarlierAttempt{earliest->sent_at, false, true, earliest->zone, earliest->cell, false, true};
  }

  // Nullopt: no start may have run.
  std::optional<TimeUs> first_sent_at() const {
    std::optional<TimeUs> first;
    for (const Start& start : starts_) first = first ? std::min(*first, start.sent_at) : start.sent_at;
    return first;
  }

 private:
  struct Start {
    QueryId query = 0;
    int attempt = 0;
    TimeUs sent_at = 0;
    std::string zone;  // of the engine, as is the cell
    int cell = 0;
    bool query_over = false;
  };
  std::vector<Start> starts_;
};

// What an earlier try may have run of the query; nullopt: nothing, or `starts` is null.
inline std::optional<EarlierAttempt> earlier_try_of(QueryId query, const KeyStarts* starts) {
  return starts == nullptr ? std::nullopt : starts->first_of_others(query);
}

}  // namespace orchidgw
