#include "fleet_harness.h"

#include <signal.h>
#include <thrift/Thrift.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "net/admin_socket.h"

namespace orchidgw::integration {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(60);
constexpr int kEngines = 2;
constexpr auto kThinkTime = std::chrono::milliseconds(10);  // of a client after a request that was not served
constexpr int kDriftPercent = 5;
constexpr const char* kOnceTable = "keys.loads";
constexpr std::int64_t kReservePpm = 50'000;

}  // namespace

std::int64_t boot_time_us() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<std::int64_t>(at.tv_sec) * 1'000'000 + at.tv_nsec / 1000;
}

FleetHarness::FleetHarness(const FleetShape& shape) : shape_(shape) {
  std::string path = (std::filesystem::temp_directory_path() / "orchidgw-fleet-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
  directory_ = path;
  for (int k = 0; k < shape.keepers; ++k) {
    keepers_.push_back(k);
    keeper_addresses_.push_back(free_address());
    std::filesystem::create_directory(directory_ + "/store-" + std::to_string(k));
  }
  for (int i = 0; i < shape.controllers; ++i)
    for (int k = 0; shape.use_relays && k < shape.keepers; ++k)
      if (i != k) relays_[{i, k}] = std::make_unique<Relay>(keeper_addresses_[static_cast<std::size_t>(k)]);
  for (int e = 0; e < kEngines; ++e)
    engines_.push_back(
        std::make_unique<HttpStandIn>([this](const HttpCall& call) { return answer_engine_call(call); }));
}

FleetHarness::~FleetHarness() {
  hold_engines(false);
  for (const auto& [i, paused] : paused_)
    if (paused && processes_.contains(i)) processes_.at(i)->signal(SIGCONT);
  stop_traffic();
  processes_.clear();
  std::filesystem::remove_all(directory_);
}

// Answers a call as an engine: counts the query and serves it 5 ms later.
HttpReply FleetHarness::answer_engine_call(const HttpCall& call) {
  HttpReply reply;
  if (call.method != "POST") {
    reply.status = 204;
    return reply;
  }
  if (call.body.find(kOnceTable) != std::string::npos) {
    std::unique_lock lock(engine_mutex_);
    starts_[call.headers.at("Call-Id")].push_back(boot_time_us());
    engine_changed_.notify_all();
    engine_changed_.wait(lock, [this] { return !engines_held_; });
  }
  std::string tenant;  // each client queries a table that is named after its tenant
  for (const std::string& one : shape_.tenants)
    if (call.body.find(" " + one + ".") != std::string::npos) tenant = one;
  {
    const std::lock_guard lock(engine_mutex_);
    admitted_at_[tenant].push_back(boot_time_us());
    max_running_ = std::max(max_running_, ++running_[tenant]);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(5));  // the query runs
  {
    const std::lock_guard lock(engine_mutex_);
    --running_[tenant];
  }
  reply.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
  reply.body = "a\tb\tc\n";
  return reply;
}

std::string FleetHarness::write_file(const std::string& name, const std::string& text) const {
  std::string path = directory_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string FleetHarness::fleet_file(int i) const {
  std::ostringstream out;
  out << "version: 1\nfleet: {name: test, number: " << fleet_number_ << "}\nrevision: " << revision_
      << "\nlargest: " << shape_.max_controllers << "\nlease: {term: " << shape_.term_ms
      << "ms, drift: " << kDriftPercent << "%}\ndivision: {cut_off: 25%, reserve: " << kReservePpm / 10'000
      << "%, least: 20%}\nkeepers:\n";
  for (const int k : keepers_) {
    const auto relay = relays_.find({i, k});
    out << "  - {id: " << k + 1 << ", name: c" << k << ", address: '"
        << (relay == relays_.end() ? keeper_addresses_[static_cast<std::size_t>(k)]
                                   : relay->second->address())
        << "'}\n";
  }
  if (shape_.key_hold_ms > 0) out << "keys: {scope: fleet}\n";
  if (shape_.start_with_bad_store) out << "bad_store: careful\n";
  if (shape_.ramp_ms > 0) out << "return: {ramp: " << shape_.ramp_ms << "ms}\n";
  if (i < shape_.keepers) out << "store: " << directory_ << "/store-" << i << "\n";
  out << "...\n";
  return out.str();
}

std::string FleetHarness::limits_file() const {
  const char* scope = shape_.use_fleet ? "fleet" : "controller";
  const int among = shape_.use_fleet ? 1 : shape_.controllers;
  std::ostringstream out;
  out << "version: 1\nlog: {components: {fleet: debug}}\nroutes:\n";
  for (const std::string& tenant : shape_.tenants)
    out << "  - name: " << tenant << "\n    match: {class: lookup, tenant: " << tenant << "}\n"
        << "    longest_hold: 500ms\n    rate: {per_second: " << shape_.rate / among
        << ", burst: " << std::max(10 / among, 1) << ", scope: " << scope
        << "}\n    concurrency: {most: " << shape_.concurrency / among << ", scope: " << scope << "}\n";
  out << "...\n";
  return out.str();
}

std::vector<std::string> FleetHarness::members() const {
  std::vector<std::string> out;
  for (std::size_t e = 0; e < engines_.size(); ++e)
    out.push_back(member_json("s-" + std::to_string(e), engines_[e]->address(),
                              engines_listed_ ? "in_service" : "terminated", engines_started_ms_));
  return out;
}

void FleetHarness::list_engines(bool listed) {
  engines_listed_ = listed;
  engines_started_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  std::string all;
  for (const std::string& one : members()) all += (all.empty() ? "" : ",") + one;
  change_log_.publish(all);
}

void FleetHarness::start(int i) {
  ControllerOptions options;
  options.name = "c" + std::to_string(i);
  options.change_log = change_log_.address();
  options.members = members();
  options.tenants = shape_.tenants;
  if (shape_.key_hold_ms > 0) options.once_deadline_us = shape_.key_hold_ms * 1'000L;
  options.limits = limits_file();
  options.arguments = {"--admin", directory_ + "/" + options.name + ".sock"};
  if (shape_.store_intents) {
    const std::string folder = directory_ + "/intents-" + std::to_string(i);
    std::filesystem::create_directories(folder);
    options.arguments.insert(options.arguments.end(), {"--intents", folder});
  }
  if (shape_.use_fleet) {
    options.arguments.push_back("--fleet");
    options.arguments.push_back(write_file(options.name + ".fleet.yaml", fleet_file(i)));
  }
  options.on_output = [this] {
    const std::lock_guard lock(mutex_);
    ++output_count_;
    changed_.notify_all();
  };
  if (first_start_ == 0) first_start_ = boot_time_us();
  auto process = std::make_unique<ControllerProcess>(options);
  const std::lock_guard lock(clients_mutex_);
  addresses_[i] = process->address();
  addresses_changed_.notify_all();
  processes_[i] = std::move(process);
  paused_[i] = false;
}

void FleetHarness::start_all() {
  for (int i = 0; i < shape_.controllers; ++i) start(i);
}

int FleetHarness::end_process(int i, int signal) {
  {
    const std::lock_guard lock(clients_mutex_);
    addresses_.erase(i);
  }
  at(i).signal(signal);
  const int code = at(i).wait_exit();
  ended_processes_.push_back({"c" + std::to_string(i), boot_time_us(), lease_lines(at(i).log())});
  processes_.erase(i);
  return code;
}

void FleetHarness::kill(int i) { end_process(i, SIGKILL); }

int FleetHarness::stop(int i) { return end_process(i, SIGTERM); }

void FleetHarness::kill_all() {
  std::vector<int> all;
  for (const auto& [i, process] : processes_) {
    process->signal(SIGKILL);
    all.push_back(i);
  }
  for (const int i : all) end_process(i, SIGKILL);
}

std::pair<int, std::string> FleetHarness::recover(int i, const std::vector<std::string>& arguments) {
  if (fleet_number_ == 7) ++fleet_number_;
  keepers_ = {i};
  const std::string name = "c" + std::to_string(i);
  std::vector<std::string> line = {"fleet", "recover", "--fleet",
                                   write_file(name + ".fleet.yaml", fleet_file(i))};
  line.insert(line.end(), arguments.begin(), arguments.end());
  ControllerOptions options;
  options.name = name;
  const std::string config = write_file(name + ".json", make_config_json(options));
  ControllerProcess command({{"BALANCER_CONFIG", config}, {"BALANCER_NAME", name}}, line);
  const int code = command.wait_exit();
  return {code, command.log()};
}

void FleetHarness::copy_store(int i) {
  std::filesystem::copy(store(i), store(i) + "-copy", std::filesystem::copy_options::recursive);
}

void FleetHarness::restore_store(int i) {
  std::filesystem::remove_all(store(i));
  std::filesystem::rename(store(i) + "-copy", store(i));
}

std::string FleetHarness::start_error(int i) {
  try {
    start(i);
  } catch (const std::exception& e) {
    return e.what();
  }
  return "";
}

void FleetHarness::lose_store(int i) {
  std::filesystem::remove_all(store(i));
  std::filesystem::create_directory(store(i));
}

void FleetHarness::pause(int i) {
  at(i).signal(SIGSTOP);
  paused_[i] = true;
}

void FleetHarness::resume(int i) {
  at(i).signal(SIGCONT);
  paused_[i] = false;
}

void FleetHarness::set_link_fault(int i, Relay::Fault fault) {
  for (auto& [link, relay] : relays_)
    if (link.first == i || link.second == i) relay->set(fault);
}

void FleetHarness::reconfigure(const FleetShape& shape, int revision, int first) {
  shape_ = shape;
  revision_ = revision;
  for (const auto& [i, process] : processes_) {
    if (i >= first) continue;
    const std::string bad_field = "misspelt: 1\n";
    write_file("c" + std::to_string(i) + ".fleet.yaml",
               (bad_file_ == BadFile::kFleet ? bad_field : "") + fleet_file(i));
    process->write_limits((bad_file_ == BadFile::kLimits ? bad_field : "") + limits_file());
    process->signal(SIGHUP);
  }
}

// Checks the condition again whenever a process has written a line.
bool FleetHarness::wait_until(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < until) {
    std::uint64_t seen = 0;
    {
      const std::lock_guard lock(mutex_);
      seen = output_count_;
    }
    if (holds()) return true;
    std::unique_lock lock(mutex_);
    changed_.wait_until(lock, until, [&] { return output_count_ != seen; });
  }
  return false;
}

bool FleetHarness::wait_fully_leased(const std::vector<int>& among) {
  return wait_until([&] {
    std::map<std::string, std::int64_t> sums;
    std::map<std::string, LeaseLine::Part> terms;
    for (const int i : among) {
      const auto lines = lease_lines(at(i).log());
      const bool runs =
          !lines.empty() && lines.back().until > boot_time_us() && lines.back().until > lines.back().from;
      if (!runs) return false;
      for (const auto& [name, part] : lines.back().parts) sums[name] += part.lease, terms[name] = part;
    }
    return !sums.empty() && std::all_of(sums.begin(), sums.end(), [&](const auto& one) {
      const LeaseLine::Part& part = terms[one.first];
      return one.second ==
             part.total - shape_.max_controllers * part.cut_off - part.total * kReservePpm / 1'000'000;
    });
  });
}

bool FleetHarness::wait_line(int i, const std::string& part) {
  return wait_until([&] { return at(i).log().find(part) != std::string::npos; });
}

long FleetHarness::granted_key_count(int keeper) {
  const std::string status = net::ask_admin(admin(keeper), "fleet status\n");
  const std::string before = " given ";  // precedes the count in the keeper's status line
  const auto line = status.find("keys rest ");
  const auto at = line == std::string::npos ? line : status.find(before, line);
  return at == std::string::npos ? -1 : std::stol(status.substr(at + before.size()));
}

bool FleetHarness::wait_granted_keys(int keeper, long more_than) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (granted_key_count(keeper) > more_than) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

int FleetHarness::leader() {
  int found = -1;
  wait_until([&] {
    for (const auto& [i, process] : processes_) {
      const std::string log = process->log();
      const auto leads = log.rfind("this keeper leads now");
      const auto no_more = log.rfind("this keeper leads no more");
      if (!paused_[i] && leads != std::string::npos && (no_more == std::string::npos || no_more < leads))
        found = i;
    }
    return found >= 0;
  });
  return found;
}

std::int64_t FleetHarness::newest_lease_part(int i, const std::string& allowance) {
  const auto lines = lease_lines(at(i).log());
  return lines.empty() ? -1 : lines.back().parts.at(allowance).lease;
}

// One client of controller i: sends the next query after each answer, to whichever process runs as controller
// i then.
void FleetHarness::run_client(int i, const std::string& tenant) {
  std::unique_ptr<FrontClient> client;
  std::string address;
  std::int32_t tag = 0;
  while (clients_running_) {
    {
      std::unique_lock lock(clients_mutex_);
      addresses_changed_.wait(lock, [&] { return !clients_running_ || addresses_.contains(i); });
      if (!clients_running_) return;
      if (addresses_.at(i) != address) client.reset();
      address = addresses_.at(i);
    }
    bool sent = false;
    FrontAnswer answer;
    try {
      if (!client) client = std::make_unique<FrontClient>(address);
      client->invoke(++tag, {{"allow", "4000"}, {"project", tenant}}, "select * from " + tenant + ".orders");
      sent = true;
      answer = client->receive();
    } catch (const std::exception&) {
      answer.kind = FrontAnswer::Kind::kClosed;
    }
    if (answer.kind == FrontAnswer::Kind::kClosed) client.reset();
    if (!sent) continue;
    if (answer.kind != FrontAnswer::Kind::kServed) std::this_thread::sleep_for(kThinkTime);
    const std::lock_guard lock(clients_mutex_);
    ++counts_.asked;
    asked_at_.push_back(boot_time_us());
    addresses_changed_.notify_all();
    if (answer.kind == FrontAnswer::Kind::kServed)
      ++counts_.served;
    else if (answer.kind == FrontAnswer::Kind::kRefused)
      ++counts_.refused;
    else if (answer.kind == FrontAnswer::Kind::kClosed)
      ++counts_.lost;
    else
      ++counts_.failed;
  }
}

void FleetHarness::start_traffic(int first_multiplier) {
  constexpr int kClientsEach = 3;
  clients_running_ = true;
  for (int i = 0; i < shape_.controllers; ++i)
    for (int n = 0; n < kClientsEach * (i == 0 ? first_multiplier : 1); ++n)
      clients_.emplace_back([this, i, n] {
        run_client(i, shape_.tenants[static_cast<std::size_t>(n) % shape_.tenants.size()]);
      });
}

FleetHarness::Counts FleetHarness::stop_traffic() {
  {
    const std::lock_guard lock(clients_mutex_);
    clients_running_ = false;
    addresses_changed_.notify_all();
  }
  for (auto& client : clients_) client.join();
  clients_.clear();
  return counts_;
}

std::map<std::string, std::vector<std::int64_t>> FleetHarness::starts() {
  const std::lock_guard lock(engine_mutex_);
  return starts_;
}

bool FleetHarness::wait_starts(const std::string& reference, std::size_t n) {
  std::unique_lock lock(engine_mutex_);
  return engine_changed_.wait_for(lock, kWaitTimeout, [&] { return starts_[reference].size() >= n; });
}

void FleetHarness::hold_engines(bool on) {
  const std::lock_guard lock(engine_mutex_);
  engines_held_ = on;
  engine_changed_.notify_all();
}

void FleetHarness::send_once_request(FrontClient& client, std::int32_t tag, const std::string& reference) {
  client.invoke(tag,
                {{"service", "once"}, {"ref", reference}, {"allow", "1500"}, {"project", shape_.tenants[0]}},
                std::string("insert into ") + kOnceTable);
}

std::pair<std::vector<std::int64_t>, std::vector<std::int64_t>> FleetHarness::event_times() {
  const std::lock_guard clients(clients_mutex_);
  const std::lock_guard engines(engine_mutex_);
  std::vector<std::int64_t> admitted;
  for (const auto& [tenant, at] : admitted_at_) admitted.insert(admitted.end(), at.begin(), at.end());
  return {asked_at_, admitted};
}

bool FleetHarness::wait_answered(long Counts::*kind, long more) {
  std::unique_lock lock(clients_mutex_);
  return addresses_changed_.wait_for(lock, kWaitTimeout,
                                     [&, until = counts_.*kind + more] { return counts_.*kind >= until; });
}

bool FleetHarness::wait_refused(long more) { return wait_answered(&Counts::refused, more); }

bool FleetHarness::wait_served(long more) { return wait_answered(&Counts::served, more); }

long FleetHarness::admitted() {
  const std::lock_guard lock(engine_mutex_);
  long sum = 0;
  for (const auto& [tenant, at] : admitted_at_) sum += static_cast<long>(at.size());
  return sum;
}

int FleetHarness::max_running() {
  const std::lock_guard lock(engine_mutex_);
  return max_running_;
}

// Time counts from the first start of a controller, so that queries which a slow machine delays can't appear
// to exceed the rate.
bool FleetHarness::rate_within_limit(double burst) {
  const std::lock_guard lock(engine_mutex_);
  for (const auto& [tenant, at] : admitted_at_)
    for (std::size_t n = 0; n < at.size(); ++n) {
      const double passed = static_cast<double>(at[n] - first_start_) / 1e6;
      if (static_cast<double>(n + 1) > shape_.rate * passed + burst) return false;
    }
  return true;
}

Audit FleetHarness::audit() {
  std::vector<ProcessRecord> records = ended_processes_;
  for (const auto& [i, process] : processes_)
    records.push_back({"c" + std::to_string(i), 0, lease_lines(process->log())});
  return integration::audit(records, shape_.max_controllers);
}

}  // namespace orchidgw::integration
