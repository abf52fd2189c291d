// Stand-ins for the review's cases: clients, executors, the change log and the platform, as the protocol page
// describes them. Plain POSIX sockets and threads; each stand-in writes what it saw to one record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;  // exit codes of a case

// Unix time in milliseconds.
inline double now_ms() {
  timespec at{};
  clock_gettime(CLOCK_REALTIME, &at);
  return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(ms * 1000)));
}
inline void sleep_until(double at_ms) { sleep_ms(at_ms - now_ms()); }

class Record {
 public:
  explicit Record(const std::string& path) : out_(std::fopen(path.c_str(), "w")), start_(now_ms()) {
    if (out_ == nullptr) throw std::runtime_error("the record can't be written");
  }
  ~Record() { std::fclose(out_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(out_, "%9.1f ms  ", now_ms() - start_);
    va_list args;
    va_start(args, format);
    std::vfprintf(out_, format, args);
    va_end(args);
    std::fputc('\n', out_);
    std::fflush(out_);
  }
  double start() const { return start_; }

 private:
  std::FILE* out_;
  double start_;
  std::mutex mutex_;
};

// --- Sockets ----------------------------------------------------------------------------------------------
struct Address {
  std::string host;
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in system_address(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

// Listens on a free port of the host, unless one is given.
inline int listen_on(Address& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = system_address(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0)
    throw std::runtime_error("no address to listen on: " + address.text());
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address.port = ntohs(at.sin_port);
  return fd;
}

inline int free_port(const std::string& host) {
  Address address{host, 0};
  const int fd = listen_on(address);
  ::close(fd);
  return address.port;
}

inline int connect_to(const Address& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = system_address(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
  for (std::size_t done = 0; done < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// --- HTTP server ------------------------------------------------------------------------------------------
struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names in lower case
  double arrived_ms = 0;                       // whole
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// One thread a connection, keep-alive.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;
  HttpServer(const std::string& host, Handler handler) : handler_(std::move(handler)) {
    address_.host = host;
    listener_ = listen_on(address_);
    std::thread([this] { accept_all(); }).detach();
  }
  const Address& address() const { return address_; }
  // Ends as a process does: its connections are reset, new ones are refused.
  void end() {
    ended_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(fd, SHUT_RD);  // its thread closes it
    }
  }
  // Cut off: open connections stay open and silent, new ones never come up.
  void cut_off(bool cut) {
    if (cut) {
      cut_ = true;
      ::listen(listener_, 0);
      for (int i = 0; i < 4; ++i) {  // fill the backlog, so that the system drops what comes
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in to = system_address(address_);
        static_cast<void>(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to));
        fillers_.push_back(fd);
      }
    } else {
      for (const int fd : fillers_) ::close(fd);
      fillers_.clear();
      ::listen(listener_, 512);
      cut_ = false;
    }
  }

 private:
  void wait_while_cut() const {
    while (cut_) sleep_ms(5);
  }
  void accept_all() {
    while (!ended_) {
      wait_while_cut();
      pollfd ready{listener_, POLLIN, 0};
      if (::poll(&ready, 1, 20) <= 0 || cut_) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    {
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
    }
    answer_all(fd);
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }
  void answer_all(int fd) {
    std::string buffer;
    HttpRequest request;
    while (read_request(fd, buffer, request)) {
      if (cut_) {
        wait_while_cut();
        request.arrived_ms = now_ms();
      }
      const HttpResponse response = handler_(request);
      wait_while_cut();
      if (ended_) return;
      std::string out = "HTTP/1.1 " + std::to_string(response.status) + " X\r\n";
      for (const auto& [name, value] : response.headers) out += name + ": " + value + "\r\n";
      if (response.status != 204) out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
      out += "\r\n" + response.body;
      if (!write_all(fd, out)) return;
    }
  }
  static bool more(int fd, std::string& buffer) {
    char bytes[16384];
    ssize_t n = 0;
    do n = ::recv(fd, bytes, sizeof bytes, 0);
    while (n < 0 && errno == EINTR);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  static bool read_request(int fd, std::string& buffer, HttpRequest& request) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more(fd, buffer)) return false;
    request = {};
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> request.method >> request.path;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      request.headers[name] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    const std::size_t length = static_cast<std::size_t>(std::atoll(request.header("content-length").c_str()));
    buffer.erase(0, end + 4);
    while (buffer.size() < length)
      if (!more(fd, buffer)) return false;
    request.body = buffer.substr(0, length);
    buffer.erase(0, length);
    request.arrived_ms = now_ms();
    return true;
  }

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> cut_{false}, ended_{false};
  std::vector<int> fillers_;
  std::mutex mutex_;
  std::set<int> open_;
};

// --- Executor ---------------------------------------------------------------------------------------------
struct Run {  // of a query that an executor began
  std::string id, kind, statement, engine, key;
  double begun_ms = 0, ends_ms = 0, asked_ms = 0, over_ms = 0;
  bool over = false;
  bool dropped = false;  // as a repeat
  // Whether it ran to its end, whoever heard of that. `forget_ms` after it was asked for last it stops.
  bool ran_to_its_end(double forget_ms = 2000) const {
    return !dropped && now_ms() >= ends_ms && (over ? over_ms >= ends_ms : ends_ms - asked_ms <= forget_ms);
  }
};

// The repeats that all executors of a group drop: for `window_ms` from the first start under a key.
class Repeats {
 public:
  explicit Repeats(double window_ms) : window_ms_(window_ms) {}
  bool drops(const std::string& key, double at_ms) {
    const std::lock_guard lock(mutex_);
    const auto it = first_ms_.find(key);
    if (it != first_ms_.end() && at_ms < it->second + window_ms_) return true;
    first_ms_[key] = at_ms;
    return false;
  }

 private:
  double window_ms_;
  std::mutex mutex_;
  std::map<std::string, double> first_ms_;
};

// Begins each query at once and runs it for as long as `run_time` says (ms). Drops a query that is not asked
// for for 2 s.
class Engine {
 public:
  using RunTime = std::function<double(const std::string& kind, const std::string& statement)>;
  Engine(std::string id, const std::string& host, Record& record, RunTime run_time)
      : id_(std::move(id)), record_(record), run_time_(std::move(run_time)),
        server_(host, [this](const HttpRequest& request) { return answer(request); }) {}
  const std::string& id() const { return id_; }
  Address address() const { return server_.address(); }
  void cut_off(bool cut) {
    record_.line("%s: %s", id_.c_str(), cut ? "cut off from the network" : "back on the network");
    server_.cut_off(cut);
  }
  void end() {
    record_.line("%s: ends", id_.c_str());
    server_.end();
  }
  void share_repeats(Repeats* repeats) { repeats_ = repeats; }
  // What a query of a kind needed, as the executor tells with a good answer.
  void set_cost(std::function<double(const std::string& kind)> cost) { cost_ = std::move(cost); }
  // Statements that this executor can't use: it answers them with an error.
  void set_unusable(std::function<bool(const std::string&)> unusable) { refuses_ = std::move(unusable); }
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    return all_;
  }

 private:
  static constexpr double kHoldMs = 250, kForgetMs = 2000;
  HttpResponse answer(const HttpRequest& request) {
    if (request.method == "POST") return start(request);
    const std::string rest = request.path.substr(std::min<std::size_t>(request.path.size(), 6));  // "/v2/q/"
    const std::string id = rest.substr(0, rest.find('/'));
    if (request.method == "DELETE") return give_up(id);
    if (request.method == "PUT") return {204, {}, ""};
    return news(id, request.arrived_ms);
  }
  HttpResponse start(const HttpRequest& request) {
    if (refuses_ && refuses_(request.body)) return {500, {}, ""};
    const std::string id = request.header("call-id");
    bool dropped = false;
    {
      const std::lock_guard lock(mutex_);
      Run run;
      run.id = id;
      run.kind = request.header("call-kind");
      run.statement = request.body;
      run.engine = id_;
      run.key = request.header("call-once");
      run.begun_ms = run.asked_ms = request.arrived_ms;
      if (repeats_ != nullptr && !run.key.empty() && repeats_->drops(run.key, run.begun_ms)) {
        run.dropped = true;
        run.ends_ms = run.begun_ms;
      } else {
        run.ends_ms = run.begun_ms + run_time_(run.kind, run.statement);
      }
      dropped = run.dropped;
      open_[id] = all_.size();
      all_.push_back(run);
    }
    const std::string key = request.header("call-once");
    record_.line("%s: start of %s, %s, Call-Ms %s%s%s%s: %.60s", id_.c_str(), id.c_str(),
                 request.header("call-kind").c_str(), request.header("call-ms").c_str(),
                 key.empty() ? "" : ", Call-Once ", key.c_str(), dropped ? ", a repeat: dropped" : "",
                 request.body.c_str());
    return news(id, request.arrived_ms);
  }
  HttpResponse news(const std::string& id, double asked_ms) {
    double ends_ms = 0;
    {
      const std::lock_guard lock(mutex_);
      Run* run = find(id, asked_ms);
      if (run == nullptr) return {500, {}, ""};
      run->asked_ms = asked_ms;
      ends_ms = run->ends_ms;
    }
    sleep_until(std::min(ends_ms, asked_ms + kHoldMs));
    const std::lock_guard lock(mutex_);
    Run* run = find(id, now_ms());
    if (run == nullptr) return {500, {}, ""};
    run->asked_ms = now_ms();
    if (now_ms() < run->ends_ms) return {202, {}, ""};
    if (!run->over) record_.line("%s: end of %s", id_.c_str(), id.c_str());
    if (!run->over) run->over_ms = run->ends_ms;
    run->over = true;
    return {200, {{"X-Pages", "1"}, {"X-Cost-Ms", std::to_string(cost_ ? cost_(run->kind) : 100.0)}, {"X-Needed-Mb", "8"}}, id_ + "\t" + id + "\tok\n"};
  }
  HttpResponse give_up(const std::string& id) {
    const std::lock_guard lock(mutex_);
    if (Run* run = find(id, now_ms())) {
      run->over = true;
      run->over_ms = now_ms();
      open_.erase(id);
      record_.line("%s: %s given up by DELETE", id_.c_str(), id.c_str());
    }
    return {204, {}, ""};
  }
  Run* find(const std::string& id, double at_ms) {
    const auto it = open_.find(id);
    if (it == open_.end()) return nullptr;
    Run& run = all_[it->second];
    if (!run.over && at_ms < run.ends_ms && at_ms - run.asked_ms > kForgetMs) {
      run.over = true;
      run.over_ms = run.asked_ms + kForgetMs;
      record_.line("%s: %s dropped, not asked for for 2 s", id_.c_str(), id.c_str());
      open_.erase(it);
      return nullptr;
    }
    return &run;
  }

  std::string id_;
  Record& record_;
  RunTime run_time_;
  std::function<bool(const std::string&)> refuses_;
  std::mutex mutex_;
  std::function<double(const std::string&)> cost_;
  Repeats* repeats_ = nullptr;
  std::map<std::string, std::size_t> open_;
  std::vector<Run> all_;
  HttpServer server_;
};

// --- Change log -------------------------------------------------------------------------------------------
inline std::string member(const std::string& id, const Address& address, const std::string& phase,
                          const std::string& zone, const std::string& kind, std::int64_t up_since_ms = 0) {
  return "{\"id\":\"" + id + "\",\"host_port\":\"" + address.text() + "\",\"locality\":\"" + zone +
         "\",\"flavor\":\"" + kind + "\",\"cell\":0,\"phase\":\"" + phase +
         "\",\"size\":1,\"up_since_ms\":" + std::to_string(up_since_ms) + "}";
}

// Answers when later events exist or the time asked for is over, and then `late_ms` later still.
class ChangeLog {
 public:
  ChangeLog(const std::string& host, Record& record)
      : record_(record), server_(host, [this](const HttpRequest& request) { return answer(request); }) {}
  Address address() const { return server_.address(); }
  void set_late(double ms) { late_ms_ = ms; }
  // An event that names these members; true: the whole list. Returns when it was in the log.
  double add(const std::vector<std::string>& members, bool complete, const std::string& what) {
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const std::string& m : members) text += (text.empty() ? "" : ",") + m;
    const std::size_t seq = events_.size() + 1;
    events_.push_back("{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"revision\":" + std::to_string(seq) +
                      ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + text + "]}}");
    changed_.notify_all();
    record_.line("change log: event %zu: %s", seq, what.c_str());
    return now_ms();
  }
  std::string since(std::size_t last) {
    const std::lock_guard lock(mutex_);
    return text_since(last);
  }
  int calls() const { return calls_; }

 private:
  HttpResponse answer(const HttpRequest& request) {
    ++calls_;
    const auto number = [&](const char* name) {
      const auto at = request.path.find(std::string(name) + "=");
      return at == std::string::npos ? 0L : std::atol(request.path.c_str() + at + std::strlen(name) + 1);
    };
    const auto last = static_cast<std::size_t>(number("since"));
    const double until = request.arrived_ms + static_cast<double>(std::min(number("timeout"), 5000L));
    std::string text;
    {
      std::unique_lock lock(mutex_);
      while (events_.size() <= last && now_ms() < until)
        changed_.wait_for(lock, std::chrono::milliseconds(static_cast<int>(until - now_ms()) + 1));
      text = text_since(last);
    }
    sleep_ms(late_ms_);
    return {200, {{"Content-Type", "application/json"}}, text};
  }
  std::string text_since(std::size_t last) {
    std::string out = "{\"seq\":" + std::to_string(std::max(last, events_.size())) + ",\"results\":[";
    for (std::size_t i = last; i < events_.size(); ++i) out += (i == last ? "" : ",") + events_[i];
    return out + "]}";
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  std::atomic<double> late_ms_{0};
  std::atomic<int> calls_{0};
  HttpServer server_;
};

// --- Client -----------------------------------------------------------------------------------------------
struct Answer {
  std::string kind = "none";  // served, refused, failed, exception, closed; none: no answer so far
  std::string text;           // of a served one the rows
  double sent_ms = 0, at_ms = 0;
};

// A connection of a client: Thrift, framed transport, strict binary protocol.
class Client {
 public:
  Client(std::string name, const Address& to, Record& record) : name_(std::move(name)), record_(record) {
    fd_ = connect_to(to);
    if (fd_ >= 0) reader_ = std::thread([this] { read_answers(); });
  }
  ~Client() {
    close();
    if (reader_.joinable()) reader_.join();
  }
  bool connected() const { return fd_ >= 0; }
  bool ended() const { return ended_; }
  void close() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  // Sends a request; its sequence number is returned.
  int invoke(const std::map<std::string, std::string>& fields, const std::string& statement) {
    const std::lock_guard lock(write_mutex_);
    const int sequence = ++last_sequence_;
    std::string body = message("invoke", sequence) + field(13, 1);
    body += std::string("\x0b\x0b", 2) + u32(static_cast<std::uint32_t>(fields.size()));
    for (const auto& [key, value] : fields) body += text(key) + text(value);
    body += field(11, 2) + text(statement) + std::string(1, '\0');
    write_all(fd_, u32(static_cast<std::uint32_t>(body.size())) + body);
    {
      const std::lock_guard answers_lock(mutex_);
      answers_[sequence].sent_ms = now_ms();
    }
    const auto ref = fields.find("ref");
    record_.line("%s: request %d sent: ref %s, allow %s", name_.c_str(), sequence,
                 ref == fields.end() ? "" : ref->second.c_str(), fields.at("allow").c_str());
    return sequence;
  }
  bool ping(double wait_ms) {
    int sequence = 0;
    {
      const std::lock_guard lock(write_mutex_);
      sequence = ++last_sequence_;
      const std::string body = message("ping", sequence) + field(2, 1) + std::string("\x01\x00", 2);
      if (!write_all(fd_, u32(static_cast<std::uint32_t>(body.size())) + body)) return false;
    }
    const Answer answer = wait_for(sequence, now_ms() + wait_ms);
    return answer.kind == "served" && good_.load();
  }
  Answer wait_for(int sequence, double until_ms) {
    std::unique_lock lock(mutex_);
    while (answers_[sequence].kind == "none" && now_ms() < until_ms)
      changed_.wait_for(lock, std::chrono::milliseconds(static_cast<int>(until_ms - now_ms()) + 1));
    return answers_[sequence];
  }
  std::map<int, Answer> answers() {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

 private:
  static std::string u32(std::uint32_t v) {
    return {static_cast<char>(v >> 24), static_cast<char>(v >> 16), static_cast<char>(v >> 8),
            static_cast<char>(v)};
  }
  static std::string text(const std::string& value) {
    return u32(static_cast<std::uint32_t>(value.size())) + value;
  }
  static std::string field(int type, int id) { return {static_cast<char>(type), 0, static_cast<char>(id)}; }
  static std::string message(const std::string& name, int sequence) {
    return u32(0x80010001U) + text(name) + u32(static_cast<std::uint32_t>(sequence));
  }
  static std::uint32_t read_u32(const std::string& in, std::size_t at) {
    std::uint32_t v = 0;
    for (std::size_t i = 0; i < 4; ++i)
      v = v << 8 | (at + i < in.size() ? static_cast<unsigned char>(in[at + i]) : 0U);
    return v;
  }
  void read_answers() {
    std::string buffer;
    char bytes[16384];
    while (true) {
      const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) break;
      buffer.append(bytes, static_cast<std::size_t>(n));
      while (buffer.size() >= 4 && buffer.size() >= 4 + read_u32(buffer, 0)) {
        const std::size_t length = read_u32(buffer, 0);
        take(buffer.substr(4, length));
        buffer.erase(0, 4 + length);
      }
    }
    const std::lock_guard lock(mutex_);
    for (auto& [sequence, answer] : answers_)
      if (answer.kind == "none") answer.kind = "closed", answer.at_ms = now_ms();
    ended_ = true;
    record_.line("%s: connection ended", name_.c_str());
    changed_.notify_all();
  }
  void take(const std::string& frame) {
    const std::uint32_t name_length = read_u32(frame, 4);
    const std::size_t at = 8 + name_length;
    const int sequence = static_cast<int>(read_u32(frame, at));
    const bool exception = (read_u32(frame, 0) & 0xff) == 3;
    const std::size_t result = at + 4;  // type, id of the result's field
    const int id = frame.size() > result + 2 ? static_cast<unsigned char>(frame[result + 2]) : -1;
    Answer answer;
    answer.kind = exception ? "exception" : id == 0 ? "served" : id == 1 ? "refused" : "failed";
    if (!exception && id == 0) {
      answer.text = frame.substr(result + 10, read_u32(frame, result + 6));
      good_ = frame.size() >= 3 && frame[frame.size() - 3] == 1;
    } else {
      for (const char c : frame.substr(std::min(result, frame.size())))
        if (c >= 0x20 && c < 0x7f) answer.text += c;
    }
    const std::lock_guard lock(mutex_);
    Answer& known = answers_[sequence];
    const bool second = known.kind != "none";
    answer.sent_ms = known.sent_ms;
    answer.at_ms = now_ms();
    if (second) ++second_answers_;
    if (!second) known = answer;
    if (frame.compare(8, name_length, "ping") != 0)
      record_.line("%s: request %d answered: %s after %.0f ms%s", name_.c_str(), sequence, answer.kind.c_str(),
                   answer.at_ms - answer.sent_ms, second ? " (a second answer)" : "");
    changed_.notify_all();
  }

  std::string name_;
  Record& record_;
  int fd_ = -1;
  std::thread reader_;
  std::mutex write_mutex_, mutex_;
  std::condition_variable changed_;
  std::map<int, Answer> answers_;
  int last_sequence_ = 0;
  std::atomic<bool> good_{false}, ended_{false};
  std::atomic<int> second_answers_{0};
};

inline std::string new_ref() {
  static std::atomic<std::uint64_t> last{0};
  static const auto base = static_cast<std::uint64_t>(now_ms()) << 20;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(base + ++last));
  return text;
}

// --- Platform ---------------------------------------------------------------------------------------------
// The `run` command of the deploy file.
inline std::string run_command(const std::string& root) {
  std::ifstream in(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    const auto end = line.find('"', 7);
    if (end != std::string::npos) return line.substr(7, end - 7);
  }
  throw std::runtime_error("no run command in deploy/balancer.toml");
}

// One controller, started as the platform does. Ended by kill at the latest when this object goes.
class Controller {
 public:
  Controller(const std::string& root, const std::string& folder, const std::string& name,
             const Address& listen, const std::string& config, Record& record)
      : listen_(listen), record_(record) {
    const std::string path = folder + "/" + name + ".json", log = folder + "/" + name + ".log";
    std::ofstream(path) << config;
    const std::string run = run_command(root);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // whatever ends the case ends its controllers
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      setenv("BALANCER_NAME", name.c_str(), 1);
      setenv("BALANCER_LISTEN", listen.text().c_str(), 1);
      setenv("BALANCER_CONFIG", path.c_str(), 1);
      if (::chdir(root.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    log_ = log;
    record_.line("%s: started by \"%s\" on %s", name.c_str(), run.c_str(), listen.text().c_str());
  }
  ~Controller() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  const Address& address() const { return listen_; }
  const std::string& log() const { return log_; }
  pid_t pid() const { return pid_; }
  void signal(int number, const char* name) {
    ::kill(pid_, number);
    record_.line("controller: %s", name);
  }
  bool alive() {
    int status = 0;
    return pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == 0;
  }
  bool wait_ready(double ms) {
    const double until = now_ms() + ms;
    while (now_ms() < until) {
      Client client("front", listen_, record_);
      if (client.connected() && client.ping(500)) {
        record_.line("controller: ready");
        return true;
      }
      sleep_ms(50);
    }
    return false;
  }

 private:
  Address listen_;
  Record& record_;
  std::string log_;
  pid_t pid_ = -1;
};

struct TemporaryFolder {
  std::string path;
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/orchidgw-review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path = pattern;
  }
  ~TemporaryFolder() {
    const std::string command = "rm -rf '" + path + "'";
    if (std::system(command.c_str()) != 0) return;
  }
};

inline bool with_trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// The controller's configuration file. Only loopback addresses occur in it.
inline std::string config_text(const std::string& name, const Address& listen, const Address& change_log,
                               const std::string& known, const std::string& settings, int memory_mb,
                               int sockets) {
  return "{\"name\":\"" + name + "\",\"listen\":\"" + listen.text() +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
         std::to_string(memory_mb) + ",\"sockets\":" + std::to_string(sockets) + "},\"changelog\":\"" +
         change_log.text() + "\",\"known\":" + known + ",\"settings\":" + settings + "}\n";
}

// Runs the case: main of each program. `body` returns kHeld or kBroken.
inline int run_case(int argc, char** argv,
                    const std::function<int(const std::string& root, const std::string& folder, Record&)>& body) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s ROOT RECORD\n", argv[0]);
    return kCannotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  int result = kCannotRun;
  try {
    auto* const record = new Record(argv[2]);  // kept, like the stand-ins: their threads run to the end
    {
      const TemporaryFolder folder;
      try {
        result = body(argv[1], folder.path, *record);
      } catch (const std::exception& e) {
        record->line("the case couldn't run: %s", e.what());
      }
    }
    record->line("%s", result == kHeld ? "RULE HELD" : result == kBroken ? "RULE BROKEN" : "COULD NOT RUN");
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  }
  ::_exit(result);
}

}  // namespace review
