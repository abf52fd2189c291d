// Measures what the limits cost: finding a route, admitting a query and ending it, and loading a large file.
// Run by `make bench`; docs/limits.md has the figures.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "limits/check.h"
#include "limits/limiter.h"
#include "operator_file/operator_file.h"

namespace {

std::atomic<std::size_t> allocations{0};

}  // namespace

__attribute__((noinline)) void* operator new(std::size_t size) {
  ++allocations;
  if (void* p = std::malloc(size)) return p;
  throw std::bad_alloc();
}
__attribute__((noinline)) void operator delete(void* p) noexcept { std::free(p); }
__attribute__((noinline)) void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

using namespace orchidgw;

Settings test_settings() {
  Settings s;
  for (const char* name : {"lookup", "report", "order-load"}) {
    ClassSettings c;
    c.name = name;
    c.latency_target = 1'000'000;
    c.deadline = 20'000'000;
    c.effect = Effect::kIdempotent;
    s.classes.push_back(c);
  }
  s.limits.max_attempts = 3;
  return s;
}

// An operator file with one route per table, for classes and tenants in turn; every fifth route has a table
// prefix.
std::string make_operator_file(int routes) {
  constexpr const char* kClasses[] = {"lookup", "report", "order-load"};
  std::string text = "version: 1\nroutes:\n";
  for (int i = 0; i < routes; ++i) {
    text += "- {name: r" + std::to_string(i) + ", match: {class: " + kClasses[i % 3];
    if (i % 2 == 0) text += ", tenant: t" + std::to_string(i % 20);
    text += ", table: s_" + std::to_string(i) + (i % 5 == 0 ? "*" : ".o") + "}, timeout: 2s}\n";
  }
  return text + "...\n";
}

std::shared_ptr<const limits::LimitSet> make_limit_set(int routes) {
  const auto read = operator_file::read_operator_file(make_operator_file(routes));
  if (!read.faults.empty()) std::abort();
  return std::make_shared<const limits::LimitSet>(test_settings(), read.file.limits, 1);
}

void find_route(benchmark::State& state) {
  const auto set = make_limit_set(static_cast<int>(state.range(0)));
  std::vector<std::string> tables;
  for (int i = 0; i < 64; ++i) tables.push_back("s_" + std::to_string(i * 15) + ".o");
  std::size_t i = 0;
  const std::size_t before = allocations;
  for (auto _ : state) {
    ++i;
    benchmark::DoNotOptimize(
        set->find(static_cast<int>(i % 3), i % 2 == 0 ? "t4" : "t9", tables[i % 64], false));
  }
  state.counters["allocations"] = static_cast<double>(allocations - before);
}
BENCHMARK(find_route)->Arg(1)->Arg(1'000)->Arg(10'000);

void load_and_check(benchmark::State& state) {
  const std::string text = make_operator_file(static_cast<int>(state.range(0)));
  const Settings settings = test_settings();
  for (auto _ : state) {
    const auto read = operator_file::read_operator_file(text);
    if (!read.faults.empty() || !limits::check(settings, read.file.limits, 20'000).empty()) std::abort();
    benchmark::DoNotOptimize(limits::LimitSet(settings, read.file.limits, 1));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(load_and_check)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMillisecond);

void admit_and_end(benchmark::State& state) {
  const Settings settings = test_settings();
  limits::Limiter limiter(settings, 1);
  if (state.range(0) > 0) limiter.activate(1, make_limit_set(static_cast<int>(state.range(0))));
  TimeUs now = 1'000'000;
  QueryId id = 0;
  for (auto _ : state) {
    now += 10;
    benchmark::DoNotOptimize(
        limiter.admit(now, {++id, static_cast<int>(id % 3), "t4", "s_15.o", false, 5'000'000}));
    limiter.attempt_sent(now, id);
    limiter.attempt_ended(now, id, OutcomeKind::kOk, 5'000, 5'000);
    limiter.query_ended(now, id);
  }
}
BENCHMARK(admit_and_end)->Arg(0)->Arg(1'000);

}  // namespace

BENCHMARK_MAIN();
