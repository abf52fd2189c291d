// Stand-ins for the cases of the second review: engines, change log, clients, and the controller's process.
// POSIX sockets and threads only; every address is on loopback. Each part behaves as PROTOCOL.md says.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;  // exit codes of a case

inline std::int64_t now_ms() {
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - start).count();
}
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleep_until_ms(std::int64_t at) {
  if (const std::int64_t left = at - now_ms(); left > 0) sleep_ms(left);
}
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}
[[noreturn]] inline void could_not_run(const std::string& why);

// What was sent, answered and run: a line each, with the milliseconds since the start of the case.
class Record {
 public:
  void open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    out_ << now_ms() << " ms: " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline Record& record() {
  static Record instance;
  return instance;
}
inline void note(const std::string& text) { record().line(text); }

inline void set_receive_timeout(int fd, std::int64_t ms) {
  timeval t{static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(ms % 1000 * 1000)};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
}
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}
inline int connect_to(int port, const std::string& host = "127.0.0.1") {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &to.sin_addr);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) return fd;
  ::close(fd);
  return -1;
}
// A listening socket on the port of loopback; 0: on a free one, which `port` names then.
inline int listen_on_free_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return fd;
}

// ---- HTTP/1.1, as a server -----------------------------------------------------------------------------
struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // by lower-case name
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

class HttpReader {
 public:
  explicit HttpReader(int fd) : fd_(fd) {}
  // False: the connection ended, or what came can't be read.
  bool next(HttpRequest& out) {
    std::size_t end = 0;
    while ((end = text_.find("\r\n\r\n")) == std::string::npos)
      if (!more()) return false;
    std::istringstream head(text_.substr(0, end));
    std::string line, version;
    out = {};
    std::getline(head, line);
    std::istringstream(line) >> out.method >> out.path >> version;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon), value = line.substr(colon + 1);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      value.erase(0, value.find_first_not_of(' '));
      out.headers[name] = value;
    }
    text_.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(std::atol(out.header("content-length").c_str()));
    while (text_.size() < length)
      if (!more()) return false;
    out.body = text_.substr(0, length);
    text_.erase(0, length);
    return true;
  }

 private:
  bool more() {
    char bytes[16384];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    text_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  int fd_;
  std::string text_;
};

inline std::string http_answer(int status, const std::string& headers, const std::string& body) {
  std::ostringstream out;
  out << "HTTP/1.1 " << status << " X\r\n" << headers;
  if (status != 204) out << "Content-Length: " << body.size() << "\r\n";
  out << "\r\n" << body;
  return out.str();
}

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  int start(Serve serve, int port = 0) {
    port_ = port;
    fd_ = listen_on_free_port(port_);
    if (fd_ < 0) could_not_run("no free port");
    serve_ = std::move(serve);
    std::thread([this, listener = fd_] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        ++accepted_;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
          const std::lock_guard lock(mutex_);
          open_.insert(fd);
        }
        std::thread([this, fd] {
          serve_(fd);
          const std::lock_guard lock(mutex_);
          open_.erase(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
    return port_;
  }
  // Accepts no new connection from now on: connecting is refused.
  void stop_listening() { ::shutdown(fd_, SHUT_RDWR); ::close(fd_); }
  void start_again() { start(serve_, port_); }  // at the same port
  void end_connections() {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  }
  int port() const { return port_; }
  int accepted() const { return accepted_; }  // connections so far

 private:
  int fd_ = -1, port_ = 0;
  std::atomic<int> accepted_{0};
  Serve serve_;
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- an engine -----------------------------------------------------------------------------------------
// The statement says what its query takes: "ms=N" its run time, "rows=N" the rows of its result.
inline int number_in(const std::string& text, const std::string& name, int otherwise) {
  const auto at = text.find(name + "=");
  return at == std::string::npos ? otherwise : std::atoi(text.c_str() + at + name.size() + 1);
}
inline std::string row_text(const std::string& reference, int row) {
  return reference + "\t" + std::to_string(row) + "\tvalue of row " + std::to_string(row) + "\n";
}
inline std::string result_text(const std::string& reference, int rows) {
  std::string out;
  for (int row = 0; row < rows; ++row) out += row_text(reference, row);
  return out;
}

struct Start {  // of a query at an engine, as the engine saw it
  std::int64_t at = 0;
  std::string engine, reference, class_name, key, statement;
};

class Engine {
 public:
  explicit Engine(std::string name) : name_(std::move(name)) {}
  int start() { return server_.start([this](int fd) { serve(fd); }); }
  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  std::vector<Start> starts() {
    const std::lock_guard lock(mutex_);
    return starts_;
  }
  int accepted() const { return server_.accepted(); }
  void serve_connection(int fd) { serve(fd); }  // for an engine whose listening socket is elsewhere

 private:
  struct Query {
    std::int64_t ends_at = 0;
    std::vector<std::string> pages;
    std::int64_t asked_at = 0;  // for the last time, or the end of the last call's wait
    int waiting = 0;            // calls that wait for news of it
  };
  static constexpr std::int64_t kHold = 250, kRetention = 2000;
  static constexpr std::size_t kPageBytes = 6000;

  void serve(int fd) {
    HttpReader reader(fd);
    HttpRequest request;
    while (reader.next(request)) {
      const std::string answer = answer_to(request);
      if (!send_all(fd, answer)) return;
    }
  }
  std::string answer_to(const HttpRequest& request) {
    if (request.method == "POST" && request.path == "/v2/q") return begin(request);
    const std::string prefix = "/v2/q/";
    if (request.path.rfind(prefix, 0) != 0) return http_answer(500, "", "");
    std::string id = request.path.substr(prefix.size());
    int page = -1;
    if (const auto slash = id.find('/'); slash != std::string::npos) {
      page = std::atoi(id.c_str() + slash + 1);
      id.resize(slash);
    }
    if (request.method == "DELETE") {
      const std::lock_guard lock(mutex_);
      note(name_ + " is told to give up " + id);
      queries_.erase(id);
      return http_answer(204, "", "");
    }
    if (request.method == "PUT") return http_answer(204, "", "");
    if (page == 0) return news(id);
    const std::lock_guard lock(mutex_);
    const auto it = queries_.find(id);
    if (it == queries_.end() || page < 0 || page >= static_cast<int>(it->second.pages.size()) ||
        now_ms() < it->second.ends_at)
      return http_answer(500, "", "");
    it->second.asked_at = now_ms();
    return http_answer(200, "X-Page: " + std::to_string(page) + "\r\n", it->second.pages[page]);
  }
  std::string begin(const HttpRequest& request) {
    const std::string id = request.header("call-id");
    {
      const std::lock_guard lock(mutex_);
      Start start{now_ms(), name_, id, request.header("call-kind"), request.header("call-once"), request.body};
      starts_.push_back(start);
      note(name_ + " starts " + id + " of class " + start.class_name +
           (start.key.empty() ? "" : " with key " + start.key) + ", " + std::to_string(request.body.size()) +
           " bytes of statement");
      Query& query = queries_[id];
      query = {};
      query.ends_at = now_ms() + number_in(request.body, "ms", 50);
      query.asked_at = now_ms();
      std::string page;
      for (int row = 0; row < number_in(request.body, "rows", 3); ++row) {
        const std::string text = row_text(id, row);
        if (page.size() + text.size() > kPageBytes) query.pages.push_back(std::move(page)), page.clear();
        page += text;
      }
      query.pages.push_back(page);
    }
    return news(id);
  }
  std::string news(const std::string& id) {
    const std::int64_t until = now_ms() + kHold;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        const auto it = queries_.find(id);
        if (it == queries_.end()) return http_answer(500, "", "");
        Query& query = it->second;
        if (query.waiting == 0 && now_ms() - query.asked_at > kRetention) {
          queries_.erase(it);
          return http_answer(500, "", "");
        }
        query.asked_at = now_ms();
        if (now_ms() >= query.ends_at)
          return http_answer(200, "X-Pages: " + std::to_string(query.pages.size()) +
                                      "\r\nX-Cost-Ms: 50\r\nX-Needed-Mb: 10\r\n",
                             query.pages[0]);
        if (now_ms() >= until) return http_answer(202, "", "");
      }
      sleep_ms(2);
    }
  }

  std::string name_;
  Server server_;
  std::mutex mutex_;
  std::map<std::string, Query> queries_;
  std::vector<Start> starts_;
};

// ---- the change log ------------------------------------------------------------------------------------
inline std::string member_json(const std::string& id, const std::string& address, const std::string& phase,
                               std::int64_t up_since_ms = 0) {
  return "{\"id\":\"" + id + "\",\"host_port\":\"" + address +
         "\",\"locality\":\"dc-vasteras\",\"flavor\":\"std-8core\",\"cell\":0,\"phase\":\"" + phase +
         "\",\"size\":8,\"up_since_ms\":" + std::to_string(up_since_ms) + "}";
}
inline std::string event_json(int seq, bool complete, const std::vector<std::string>& members) {
  std::string out = "{\"seq\":" + std::to_string(seq) + ",\"fleet\":{\"revision\":" + std::to_string(seq) +
                    ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < members.size(); ++i) out += (i > 0 ? "," : "") + members[i];
  return out + "]}}";
}

class ChangeLog {
 public:
  int start() { return server_.start([this](int fd) { serve(fd); }); }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  // The event is in the log from now on.
  void add(bool complete, const std::vector<std::string>& members) {
    const std::lock_guard lock(mutex_);
    events_.push_back(event_json(static_cast<int>(events_.size()) + 1, complete, members));
    changed_.notify_all();
  }
  std::string all() {  // as `known` has it
    const std::lock_guard lock(mutex_);
    return since(0);
  }
  std::size_t polls() const { return polls_; }
  std::size_t longest() const { return longest_; }  // of its answers, in bytes
  // Down: it refuses new connections, and its open ones are closed. Back: at the same address.
  void set_down(bool down) {
    if (down) {
      server_.stop_listening();
      server_.end_connections();
    } else {
      server_.start_again();
    }
  }
  Server& server() { return server_; }

 private:
  std::string since(std::size_t number) {
    std::string out = "{\"seq\":" + std::to_string(events_.size()) + ",\"results\":[";
    for (std::size_t i = number; i < events_.size(); ++i) out += (i > number ? "," : "") + events_[i];
    return out + "]}";
  }
  void serve(int fd) {
    HttpReader reader(fd);
    HttpRequest request;
    while (reader.next(request)) {
      ++polls_;
      const auto at = static_cast<std::size_t>(number_in(request.path, "since", 0));
      const int wait = std::min(number_in(request.path, "timeout", 0), 5000);
      std::string body;
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return events_.size() > at; });
        body = since(std::min(at, events_.size()));
        longest_ = std::max<std::size_t>(longest_, body.size());
      }
      if (!send_all(fd, http_answer(200, "Content-Type: application/json\r\n", body))) return;
    }
  }
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  std::atomic<std::size_t> polls_{0}, longest_{0};
};

// ---- a client ------------------------------------------------------------------------------------------
inline void put_u32(std::string& out, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}
inline void put_text(std::string& out, const std::string& text) {
  put_u32(out, static_cast<std::uint32_t>(text.size()));
  out += text;
}
inline std::string framed(const std::string& body) {
  std::string out;
  put_u32(out, static_cast<std::uint32_t>(body.size()));
  return out + body;
}
inline std::string new_reference() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}
using Fields = std::map<std::string, std::string>;
inline std::string invoke_frame(int sequence, const Fields& fields, const std::string& statement) {
  std::string out;
  put_u32(out, 0x80010001U);
  put_text(out, "invoke");
  put_u32(out, static_cast<std::uint32_t>(sequence));
  out += std::string("\x0d\x00\x01\x0b\x0b", 5);
  put_u32(out, static_cast<std::uint32_t>(fields.size()));
  for (const auto& [name, value] : fields) put_text(out, name), put_text(out, value);
  out += std::string("\x0b\x00\x02", 3);
  put_text(out, statement);
  out += '\0';
  return framed(out);
}
inline std::string abort_frame(int sequence, int aborted) {
  std::string out;
  put_u32(out, 0x80010004U);
  put_text(out, "abort");
  put_u32(out, static_cast<std::uint32_t>(sequence));
  out += std::string("\x08\x00\x01", 3);
  put_u32(out, static_cast<std::uint32_t>(aborted));
  out += '\0';
  return framed(out);
}
inline std::string ping_frame(int sequence) {
  std::string out;
  put_u32(out, 0x80010001U);
  put_text(out, "ping");
  put_u32(out, static_cast<std::uint32_t>(sequence));
  out += std::string("\x02\x00\x01\x01\x00", 5);
  return framed(out);
}

struct Answer {
  enum class Kind { kServed, kRefused, kFailed, kOther };
  Kind kind = Kind::kOther;
  int sequence = 0;
  std::string method, body;
  bool good = false;
  std::int64_t at = 0;
};
inline const char* name_of(Answer::Kind kind) {
  return kind == Answer::Kind::kServed    ? "served"
         : kind == Answer::Kind::kRefused ? "refused"
         : kind == Answer::Kind::kFailed  ? "failed"
                                          : "unreadable";
}
// Reads the reply in `frame`; strict binary protocol.
inline Answer read_reply(const std::string& frame) {
  std::size_t at = 0;
  const auto u8 = [&]() -> std::uint32_t {
    return at < frame.size() ? static_cast<unsigned char>(frame[at++]) : 0;
  };
  const auto u32 = [&]() {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i) value = value << 8 | u8();
    return value;
  };
  const auto text = [&]() {
    const std::size_t size = u32();
    if (size > frame.size() - std::min(at, frame.size())) return at = frame.size(), std::string();
    std::string out = frame.substr(at, size);
    at += size;
    return out;
  };
  Answer out;
  out.at = now_ms();
  const std::uint32_t version = u32();
  out.method = text();
  out.sequence = static_cast<int>(u32());
  if ((version & 0xff) == 3) return out.kind = Answer::Kind::kFailed, out;  // application exception
  if ((version & 0xffffff00U) != 0x80010000U || (version & 0xff) != 2 || u8() != 12) return out;
  const std::uint32_t field = u8() << 8 | u8();
  if (field == 1) return out.kind = Answer::Kind::kRefused, out;
  if (field == 2) return out.kind = Answer::Kind::kFailed, out;
  for (std::uint32_t type = u8(); type != 0 && at < frame.size(); type = u8()) {
    const std::uint32_t id = u8() << 8 | u8();
    if (type == 11 && id == 1) {
      out.body = text();
    } else if (type == 13) {
      u8(), u8();
      for (std::uint32_t n = u32(); n > 0 && at < frame.size(); --n) text(), text();
    } else if (type == 2) {
      out.good = u8() == 1;
    } else {
      return out;
    }
  }
  if (out.good || out.method == "ping") out.kind = Answer::Kind::kServed;
  return out;
}

// One connection to a controller. A thread reads its answers.
class Client {
 public:
  ~Client() { close(); }
  bool connect(int port) {
    fd_ = connect_to(port);
    if (fd_ < 0) return false;
    reader_ = std::thread([this] { read(); });
    return true;
  }
  // Says nothing of what becomes of the bytes: the client learns that from the connection.
  bool write(const std::string& bytes) { return send_all(fd_, bytes); }
  std::optional<Answer> answer_to(int sequence) {
    const std::lock_guard lock(mutex_);
    for (const Answer& answer : answers_)
      if (answer.sequence == sequence) return answer;
    return std::nullopt;
  }
  int answers_to(int sequence) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(answers_.begin(), answers_.end(),
                                          [&](const Answer& a) { return a.sequence == sequence; }));
  }
  std::optional<Answer> wait_for(int sequence, std::int64_t until) {
    while (true) {
      if (const auto answer = answer_to(sequence)) return answer;
      if (now_ms() >= until) return std::nullopt;
      if (ended_at_ > 0) return answer_to(sequence);
      sleep_ms(2);
    }
  }
  std::int64_t ended_at() const { return ended_at_; }  // by the controller; 0: the connection is open
  void close() {
    if (fd_ < 0) return;
    ::shutdown(fd_, SHUT_RDWR);
    if (reader_.joinable()) reader_.join();
    ::close(fd_);
    fd_ = -1;
  }

 private:
  void read() {
    std::string text;
    char bytes[16384];
    while (true) {
      const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
      if (n <= 0) break;
      text.append(bytes, static_cast<std::size_t>(n));
      while (text.size() >= 4) {
        std::uint32_t length = 0;
        for (int i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(text[i]);
        if (text.size() < 4 + length) break;
        const std::lock_guard lock(mutex_);
        answers_.push_back(read_reply(text.substr(4, length)));
        text.erase(0, 4 + length);
      }
    }
    ended_at_ = std::max<std::int64_t>(now_ms(), 1);
  }
  int fd_ = -1;
  std::thread reader_;
  std::mutex mutex_;
  std::vector<Answer> answers_;
  std::atomic<std::int64_t> ended_at_{0};
};

// ---- the platform --------------------------------------------------------------------------------------
// Settings like those of order-warehouse: the names and units of the simulator's first message.
struct Settings {
  int controllers = 3;
  int memory_mb = 192;
  int sockets = 1024;
  std::string load_effect = "\"effect\":\"deduplicated\",\"keyScope\":\"all\",\"repeatWindow\":12000000";
  std::string extra;  // further fields of the configuration, each followed by a comma
};
inline std::string configuration(const Settings& settings, const std::string& listen,
                                 const std::string& change_log, const std::string& known) {
  std::ostringstream out;
  out << "{\"name\":\"n0\",\"listen\":\"" << listen << "\",\"seed\":\"8c1f30d27a5be964\"," << settings.extra
      << "\"limits\":{\"cores\":1.0,\"memory_mb\":" << settings.memory_mb
      << ",\"sockets\":" << settings.sockets << "},\"changelog\":\"" << change_log << "\",\"known\":" << known
      << ",\"settings\":{\"balancers\":" << settings.controllers
      << ",\"me\":0,\"myZone\":\"dc-vasteras\",\"shapes\":[\"std-8core\"],\"classes\":["
         "{\"name\":\"lookup\",\"aim\":750000,\"aimStretch\":2.0,\"deadline\":4000000,\"effect\":\"idempotent\","
         "\"keyScope\":\"all\",\"repeatWindow\":5000000,\"value\":1.0,\"lateWorth\":0.1},"
         "{\"name\":\"report\",\"aim\":1500000,\"aimStretch\":2.5,\"deadline\":20000000,"
         "\"effect\":\"idempotent\",\"keyScope\":\"all\",\"repeatWindow\":5000000,\"value\":6.0,"
         "\"lateWorth\":0.4},"
         "{\"name\":\"order-load\",\"aim\":4000000,\"aimStretch\":3.0,\"deadline\":20000000,"
      << settings.load_effect
      << ",\"value\":15.0,\"lateWorth\":0.6}],"
         "\"tenants\":[{\"name\":\"leverans\",\"portion\":0.85,\"quotaPerS\":80.0},"
         "{\"name\":\"inkop\",\"portion\":0.15,\"quotaPerS\":20.0}],"
         "\"domain\":{\"dop\":[1,2,2],\"sizeCores\":[8],\"kindMemoryMb\":[16384],"
         "\"loads\":[false,false,true],\"waitsForLoads\":[true,false,false],\"grantsCount\":true,"
         "\"lanesCount\":true,\"bills\":true,\"mostGrant\":1.0,\"whenShort\":\"line_up\"},"
         "\"policyLimits\":{\"cancel\":true,\"probes\":false,\"peers\":false,\"secondCopies\":false,"
         "\"retryAfter\":true,\"maxRetryAfter\":500000,\"maxAttempts\":3,\"connectTimeout\":250000},"
         "\"rules\":{\"answerSlack\":20000,\"askWithin\":10000000,\"budgetFree\":2.0,\"cold\":15000000,"
         "\"coldFrom\":0.3,\"extraRatio\":0.2,\"fallMultiple\":4.0,\"lookBack\":10000000,"
         "\"stopSendingWithin\":1000000,\"tipAfter\":1000000}}}";
  return out.str();
}

inline Fields fields_of(const std::string& class_name, const std::string& reference, int allow_ms,
                        double effort_ms = 100) {
  std::ostringstream effort;
  effort << effort_ms;
  return {{"service", class_name}, {"ref", reference},     {"allow", std::to_string(allow_ms)},
          {"project", "leverans"}, {"effort", effort.str()}, {"mem", "10"}};
}

// A controller, started by the `run` of the deploy file.
class Controller {
 public:
  explicit Controller(std::string folder) : folder_(std::move(folder)) {}
  ~Controller() { kill_now(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string config_path() const { return folder_ + "/config.json"; }
  void write_config(const Settings& settings, const std::string& change_log, const std::string& known) {
    if (port_ == 0) ::close(listen_on_free_port(port_));  // a free port
    const std::string path = config_path();
    {
      std::ofstream out(path + ".new", std::ios::trunc);
      out << configuration(settings, "127.0.0.1:" + std::to_string(port_), change_log, known);
    }
    std::rename((path + ".new").c_str(), path.c_str());
  }
  void start() {
    const char* run = std::getenv("CASE_RUN");
    if (run == nullptr) could_not_run("CASE_RUN is not set");
    const std::string command = run, config = config_path(), log = folder_ + "/controller.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, whatever ends that
      ::setenv("BALANCER_CONFIG", config.c_str(), 1);
      ::setenv("BALANCER_NAME", "n0", 1);
      ::setenv("BALANCER_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      if (std::freopen(log.c_str(), "a", stderr) == nullptr) ::_exit(127);
      ::dup2(2, 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    const std::int64_t until = now_ms() + 30'000;
    while (now_ms() < until) {
      Client client;
      if (client.connect(port_) && client.write(ping_frame(1))) {
        const auto pong = client.wait_for(1, now_ms() + 500);
        if (pong && pong->good) return note("the controller is ready");
      }
      if (ended()) could_not_run("the controller ended at its start");
      sleep_ms(50);
    }
    could_not_run("the controller was not ready in 30 s");
  }
  void signal(int number) { ::kill(pid_, number); }
  bool ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    note("the controller has ended, status " + std::to_string(status));
    pid_ = 0;
    return true;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Peak of resident memory in MB, as the platform sees it.
  double peak_mb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line))
      if (line.rfind("VmHWM:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
    return 0;
  }

 private:
  std::string folder_;
  int port_ = 0;
  pid_t pid_ = 0;
};

inline Controller*& running_controller() {
  static Controller* instance = nullptr;
  return instance;
}
[[noreturn]] inline void finish(int code) {
  note(code == kHeld ? "the rule held" : code == kBroken ? "the rule was broken" : "the case could not run");
  if (running_controller() != nullptr) running_controller()->kill_now();
  std::_Exit(code);
}
[[noreturn]] inline void could_not_run(const std::string& why) {
  note("could not run: " + why);
  std::cerr << "could not run: " << why << std::endl;
  finish(kCouldNotRun);
}
// argv: the file for the record, a temporary folder.
inline std::string begin_case(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc < 3) std::_Exit(kCouldNotRun);
  now_ms();
  record().open(argv[1]);
  note(trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
  return argv[2];
}

}  // namespace rig
