#pragma once

// Parts of the review's scripts: processes of the product, and small stand-ins for clients, replicas and the
// operator that speak the users' protocol over loopback. Nothing but the C++ library and POSIX is needed.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;     // exit codes of a script
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();

/// Milliseconds since the script began.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}
inline void sleepMs(double ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
  }
}
inline bool withTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// The file record.txt; each line begins with the time in ms.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%10.1f ", nowMs());
    out_ << stamp << text << "\n" << std::flush;
  }
  /// Also to standard output.
  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    line("%s", text);
    std::printf("%s\n", text);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};
inline Address parseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}
inline sockaddr_in socketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}
inline bool isFree(const Address& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = socketAddress(address);
  const bool free = ::bind(socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
  ::close(socket);
  return free;
}

using Headers = std::vector<std::pair<std::string, std::string>>;
inline std::string headerOf(const Headers& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name) == 0) {
      return value;
    }
  }
  return {};
}

/// Reads one HTTP message after the other from a socket.
class Reader {
 public:
  explicit Reader(int socket) : socket_(socket) {}
  enum class Result { Ok, Closed, Reset, TimedOut };

  Result more(double until_ms) {
    pollfd wait{socket_, POLLIN, 0};
    const double left = until_ms - nowMs();
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
      return Result::TimedOut;
    }
    char bytes[65536];
    const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count > 0) {
      buffer_.append(bytes, static_cast<std::size_t>(count));
      return Result::Ok;
    }
    return count == 0 ? Result::Closed : Result::Reset;
  }
  Result readLine(std::string& line, double until_ms) {
    while (true) {
      const std::size_t end = buffer_.find('\n');
      if (end != std::string::npos) {
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r') {
          line.pop_back();
        }
        return Result::Ok;
      }
      const Result result = more(until_ms);
      if (result != Result::Ok) {
        return result;
      }
    }
  }
  Result readBytes(std::size_t count, std::string& into, double until_ms) {
    while (buffer_.size() < count) {
      const Result result = more(until_ms);
      if (result != Result::Ok) {
        return result;
      }
    }
    into.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return Result::Ok;
  }
  Result readHead(std::string& first, Headers& headers, double until_ms) {
    Result result = readLine(first, until_ms);
    while (result == Result::Ok) {
      std::string line;
      result = readLine(line, until_ms);
      if (result != Result::Ok || line.empty()) {
        return result;
      }
      const std::size_t colon = line.find(':');
      std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return result;
  }
  /// The body that the headers announce. until_end: a message without a length ends with its connection.
  Result readBody(const Headers& headers, std::string& body, bool until_end, double until_ms) {
    if (::strcasecmp(headerOf(headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::string size;
        Result result = readLine(size, until_ms);
        if (result != Result::Ok) {
          return result;
        }
        const std::size_t count = std::strtoul(size.c_str(), nullptr, 16);
        if (count > 0) {
          result = readBytes(count, body, until_ms);
        }
        std::string end;
        if (result == Result::Ok) {
          result = readLine(end, until_ms);
        }
        if (result != Result::Ok || count == 0) {
          return result;
        }
      }
    }
    const std::string length = headerOf(headers, "Content-Length");
    if (!length.empty()) {
      return readBytes(std::strtoul(length.c_str(), nullptr, 10), body, until_ms);
    }
    while (until_end) {
      const Result result = more(until_ms);
      body += std::exchange(buffer_, {});
      if (result != Result::Ok) {
        return result == Result::Closed ? Result::Ok : result;
      }
    }
    return Result::Ok;
  }

 private:
  int socket_;
  std::string buffer_;
};

inline bool sendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

struct Answer {
  int status = 0;         // 0: none
  bool complete = false;  // the whole answer came
  bool connected = false;
  std::string why;  // if it isn't complete
  Headers headers;
  std::string body;
};

/// A client's connection, which is kept for further requests while the peer allows it.
class Connection {
 public:
  explicit Connection(Address peer) : peer_(std::move(peer)) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  const Address& peer() const { return peer_; }

  Answer call(const std::string& method, const std::string& target, const Headers& headers,
              const std::string& body, double timeout_ms) {
    Answer answer;
    const double until = nowMs() + timeout_ms;
    if (socket_ < 0 && !connect(std::min(1000.0, timeout_ms))) {
      answer.why = "no connection";
      return answer;
    }
    answer.connected = true;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    bool host = false;
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
      host = host || ::strcasecmp(name.c_str(), "Host") == 0;
    }
    if (!host) {
      text += "Host: " + peer_.text() + "\r\n";
    }
    if (!body.empty() || method == "POST") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!sendAll(socket_, text + "\r\n" + body)) {
      answer.why = "the connection broke while the request was sent";
      close();
      return answer;
    }
    std::string first;
    Reader::Result result = reader_->readHead(first, answer.headers, until);
    if (result == Reader::Result::Ok) {
      answer.status = first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
      result = reader_->readBody(answer.headers, answer.body, true, until);
    }
    answer.complete = result == Reader::Result::Ok;
    if (!answer.complete) {
      answer.why = result == Reader::Result::TimedOut ? "time is over"
                   : result == Reader::Result::Closed ? "the connection was closed"
                                                      : "the connection was reset";
    }
    if (!answer.complete || ::strcasecmp(headerOf(answer.headers, "Connection").c_str(), "close") == 0) {
      close();
    }
    return answer;
  }
  void close() {
    if (socket_ >= 0) {
      ::close(socket_);
      socket_ = -1;
    }
  }

 private:
  bool connect(double timeout_ms) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = socketAddress(peer_);
    int fault = ::connect(socket_, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 ? 0 : errno;
    if (fault == EINPROGRESS) {
      pollfd wait{socket_, POLLOUT, 0};
      socklen_t size = sizeof fault;
      if (::poll(&wait, 1, static_cast<int>(timeout_ms)) <= 0 ||
          ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &fault, &size) != 0) {
        fault = ETIMEDOUT;
      }
    }
    if (fault != 0) {
      close();
      return false;
    }
    ::fcntl(socket_, F_SETFL, ::fcntl(socket_, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    reader_ = std::make_unique<Reader>(socket_);
    return true;
  }

  Address peer_;
  int socket_ = -1;
  std::unique_ptr<Reader> reader_;
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string header(const char* name) const { return headerOf(headers, name); }
};

/// A server with one thread for each connection. The handler writes to the socket itself; false: the connection is
/// closed.
class Server {
 public:
  using Handler = std::function<bool(int socket, const Request& request)>;

  Server(Address address, Handler handler) : address_(std::move(address)), handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name = socketAddress(address_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        ::listen(listener_, 512) != 0) {
      std::perror("a stand-in can't listen");
      std::exit(kCouldNotRun);
    }
    socklen_t size = sizeof name;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
    address_.port = ntohs(name.sin_port);
    acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  const Address& address() const { return address_; }

  /// Ends as a process does: nothing listens any more and its connections are closed.
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int socket : open_) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    while (running_ > 0) {
      sleepMs(1);
    }
  }

 private:
  void accept() {
    while (!stopped_) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (stopped_) {
          return;
        }
        sleepMs(1);
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      open_.insert(socket);
      ++running_;
      std::thread([this, socket] { serve(socket); }).detach();
    }
  }
  void serve(int socket) {
    Reader reader(socket);
    const double never = 1e12;
    while (!stopped_) {
      Request request;
      std::string first;
      if (reader.readHead(first, request.headers, never) != Reader::Result::Ok) {
        break;
      }
      const std::size_t space = first.find(' ');
      request.method = first.substr(0, space);
      request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
      if (reader.readBody(request.headers, request.body, false, never) != Reader::Result::Ok ||
          !handler_(socket, request)) {
        break;
      }
    }
    {
      const std::lock_guard lock(mutex_);
      open_.erase(socket);
      ::close(socket);
    }
    --running_;
  }

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> running_{0};
};

inline std::string responseText(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A process of the product, started with the command of the deploy file.
class Process {
 public:
  Process(std::string program, std::string role, std::string settings, std::string log)
      : program_(std::move(program)), role_(std::move(role)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~Process() { end(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start() {
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the script, however that ends
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl(program_.c_str(), program_.c_str(), role_.c_str(), "--settings", settings_.c_str(), nullptr);
      ::_exit(127);
    }
  }
  void signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  /// Sends the signal and waits for the end.
  void end(int number) {
    if (pid_ > 0) {
      ::kill(pid_, number);
      ::kill(pid_, SIGCONT);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// True if the process has ended by itself.
  bool hasEnded() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  int status() const { return status_; }
  pid_t pid() const { return pid_; }

 private:
  std::string program_;
  std::string role_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// The figures of the site vcs-fleet that the scripts use.
constexpr double kHeartbeatMs = 1200;
constexpr double kDrainMs = 2000;
constexpr double kContactMs = 3000;
constexpr double kConfigApplyMs = 2000;

/// Core machines 127.0.1.N and edge machines 127.0.2.N, one process each, with settings like the templates'.
class Fleet {
 public:
  Fleet(Record& record, int cores, int edges) : record_(record) {
    const char* program = std::getenv("FERRYROCK_PLATFORM");
    program_ = program != nullptr ? program : "target/bin/ferryrock-platform";
    program_ = std::filesystem::absolute(program_).string();
    char pattern[] = "/tmp/ferryrock-review-XXXXXX";
    folder_ = ::mkdtemp(pattern);
    choosePorts(cores, edges);
    for (int i = 0; i < cores; ++i) {
      control.push_back({"127.0.1." + std::to_string(i + 1), port_ + 1});
    }
    for (int i = 0; i < cores; ++i) {
      writeControl(i, true);
      members.push_back(std::make_unique<Process>(program_, "control", file("control", i, "yaml"),
                                                  file("control", i, "log")));
    }
    for (int i = 0; i < edges; ++i) {
      front.push_back({"127.0.2." + std::to_string(i + 1), port_ + 3});
      writeRouter(i);
      routers.push_back(std::make_unique<Process>(program_, "router", file("router", i, "yaml"),
                                                  file("router", i, "log")));
    }
  }
  ~Fleet() {
    for (const auto& process : routers) {
      process->end(SIGKILL);
    }
    for (const auto& process : members) {
      process->end(SIGKILL);
    }
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      std::printf("kept: %s\n", folder_.c_str());
    }
  }
  /// `later`: the last ones of the core, which aren't started yet.
  void start(std::size_t later = 0) {
    if (::access(program_.c_str(), X_OK) != 0) {
      std::printf("%s isn't there: build the deploy file first\n", program_.c_str());
      std::exit(kCouldNotRun);
    }
    for (std::size_t i = 0; i + later < members.size(); ++i) {
      members[i]->start();
    }
    for (const auto& process : routers) {
      process->start();
    }
  }
  /// The first start is over: members that start again have bootstrap false.
  void endBootstrap() {
    for (std::size_t i = 0; i < members.size(); ++i) {
      writeControl(static_cast<int>(i), false);
    }
  }
  /// The next start of this member finds an empty disk.
  void loseDisk(std::size_t i) {
    ++disks_[static_cast<int>(i)];
    writeControl(static_cast<int>(i), false);
  }
  /// Sends the order to one node after the other until it is acknowledged or refused for good; status of the last
  /// answer.
  int order(const std::string& path, const std::string& body, double for_ms) {
    const double until = nowMs() + for_ms;
    int status = 0;
    double pause = 50;  // grows with each move to another node
    for (std::size_t turn = 0; nowMs() < until; ++turn) {
      const Answer answer = ask(control[turn % control.size()], "POST", path, body, 1500);
      status = answer.complete ? answer.status : 0;
      if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
        return status;
      }
      sleepMs(pause);
      pause = std::min(800.0, 1.5 * pause);
    }
    return status;
  }
  /// The addresses that a directory names to a client now; empty: none answers.
  std::vector<std::string> resolve(const std::string& host) const {
    for (const Address& router : front) {
      Connection connection({router.ip, port_ + 2});
      const Answer answer = connection.call(
          "GET", "/v1/resolve?name=" + host + "&region=be-flanders&zone=hall-a", {}, "", 1000);
      const std::size_t list = answer.body.find("\"addresses\":[");
      if (answer.status != 200 || list == std::string::npos) {
        continue;
      }
      std::vector<std::string> addresses;
      std::size_t at = list + 13;
      const std::size_t end = answer.body.find(']', at);
      while ((at = answer.body.find('"', at)) < end) {
        const std::size_t close = answer.body.find('"', at + 1);
        addresses.push_back(answer.body.substr(at + 1, close - at - 1));
        at = close + 1;
      }
      return addresses;
    }
    return {};
  }
  bool names(const std::string& host, const Address& router) const {
    const std::vector<std::string> addresses = resolve(host);
    return std::find(addresses.begin(), addresses.end(), router.text()) != addresses.end();
  }
  /// One question to a node that serves control; follows 307 twice.
  static Answer ask(Address node, const std::string& method, const std::string& path, const std::string& body,
                    double timeout_ms) {
    std::string target = path;
    Answer answer;
    for (int redirects = 0; redirects < 3; ++redirects) {
      Connection connection(node);
      answer = connection.call(method, target, {{"Content-Type", "application/json"}}, body, timeout_ms);
      if (answer.status != 307) {
        return answer;
      }
      const std::string location = headerOf(answer.headers, "Location").substr(7);
      const std::size_t slash = location.find('/');
      node = parseAddress(location.substr(0, slash));
      target = location.substr(slash);
    }
    return answer;
  }
  /// Index of the member that leads, as /v1/config/get tells; -1: none.
  int leader() {
    for (std::size_t i = 0; i < control.size(); ++i) {
      Connection connection(control[i]);
      const Answer answer = connection.call("GET", "/v1/config/get", {}, "", 1000);
      if (answer.status == 200) {
        return static_cast<int>(i);
      }
      if (answer.status == 307) {
        const std::string location = headerOf(answer.headers, "Location").substr(7);
        for (std::size_t other = 0; other < control.size(); ++other) {
          if (location.starts_with(control[other].text() + "/")) {
            return static_cast<int>(other);
          }
        }
      }
    }
    return -1;
  }
  std::string logOf(const char* role, int i) const { return file(role, i, "log"); }
  const std::string& folder() const { return folder_; }

  std::vector<Address> control;
  std::vector<Address> front;
  std::vector<std::unique_ptr<Process>> members;
  std::vector<std::unique_ptr<Process>> routers;

 private:
  void choosePorts(int cores, int edges) {
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries) {
      port_ = 20000 + static_cast<int>(random() % 1200) * 10;
      bool free = true;
      for (int port = port_; port < port_ + 6; ++port) {
        for (int i = 1; i <= cores; ++i) {
          free = free && isFree({"127.0.1." + std::to_string(i), port});
        }
        for (int i = 1; i <= edges; ++i) {
          free = free && isFree({"127.0.2." + std::to_string(i), port});
        }
      }
      if (free) {
        return;
      }
    }
    std::printf("no free ports\n");
    std::exit(kCouldNotRun);
  }
  std::string file(const char* role, int i, const char* ending) const {
    return folder_ + "/" + role + "-" + std::to_string(i + 1) + "." + ending;
  }
  static std::string zoneOf(int i) { return std::string("hall-") + static_cast<char>('a' + i % 3); }
  std::string common(const char* role, int i, const std::string& ip) const {
    std::string text = std::string("node: \"") + role + "-" + std::to_string(i + 1) + "\"\nzone: \"" + zoneOf(i) +
                       "\"\nhost: \"" + ip + "\"\ninternal_port: " + std::to_string(port_) + "\nseeds: [";
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, control.size()); ++seed) {
      text += (seed > 0 ? ", \"" : "\"") + control[seed].text() + "\"";
    }
    return text + "]\nlisten_directory: \"" + ip + ":" + std::to_string(port_ + 2) +
           "\"\nretry_share: 0.2\nretry_slack: 52\nretry_window: 10s\nlog:\n  format: json\n";
  }
  void writeControl(int i, bool bootstrap) const {
    const auto disk = disks_.find(i);
    const std::string data = folder_ + "/data-" + std::to_string(i + 1) + "-" +
                             std::to_string(disk == disks_.end() ? 1 : disk->second + 1);
    std::filesystem::create_directories(data);
    std::ofstream out(file("control", i, "yaml"));
    out << common("control", i, control[static_cast<std::size_t>(i)].ip) << "listen_control: \""
        << control[static_cast<std::size_t>(i)].text() << "\"\ndata_folder: \"" << data
        << "\"\nbootstrap: " << (bootstrap ? "true" : "false")
        << "\nlosses_borne: 2\nzones: [\"hall-a\", \"hall-b\", \"hall-c\"]\nreplica_heartbeat: 1200ms\n"
           "router_out_of_touch: 3000ms\norder_lease: 3000ms\nbalance_by_fleet_load: true\n";
  }
  void writeRouter(int i) const {
    const std::string& ip = front[static_cast<std::size_t>(i)].ip;
    std::ofstream out(file("router", i, "yaml"));
    out << common("router", i, ip) << "listen_calls: \"" << front[static_cast<std::size_t>(i)].text()
        << "\"\nlisten_status: \"" << ip << ":" << port_ + 4 << "\"\nstop_limit: 8s\n";
  }

  Record& record_;
  std::string program_;
  std::string folder_;
  int port_ = 0;
  std::map<int, int> disks_;  // how often a member lost its disk
};

/// Sends a replica's reports: to beatAddr if one was named, to the next node after a failure.
class Reporter {
 public:
  Reporter(const Fleet& fleet, std::size_t first) : fleet_(fleet), node_(first % fleet.control.size()) {}
  /// One try, given a second. Returns the status; 0: none.
  int post(const std::string& path, const std::string& body) {
    const bool named = !named_.empty();
    const Address node = named ? parseAddress(named_) : fleet_.control[node_];
    Connection connection(node);
    const Answer answer = connection.call("POST", path, {{"Content-Type", "application/json"}}, body, 1000);
    last_ = node.text();
    if (answer.complete && answer.status / 100 == 2) {
      const std::size_t found = answer.body.find("\"beatAddr\":\"");
      if (found != std::string::npos) {
        const std::size_t begin = found + 12;
        named_ = answer.body.substr(begin, answer.body.find('"', begin) - begin);
      }
      return answer.status;
    }
    named_.clear();
    node_ = (node_ + 1) % fleet_.control.size();
    return answer.complete ? answer.status : 0;
  }
  const std::string& last() const { return last_; }

 private:
  const Fleet& fleet_;
  std::size_t node_;
  std::string named_;
  std::string last_;
};

}  // namespace review
