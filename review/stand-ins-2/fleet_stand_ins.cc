// Stand-ins for the scripts of the second review: a replica, and a driver that is the operator and the clients. Plain
// sockets and threads, no library; see run.sh of the cases.
//   fleet-stand-ins replica ID SERVICE IP:PORT CONTROL[,CONTROL...]
//   fleet-stand-ins drive CONTROL[,...] DIRECTORY STATUS VICTIM_PID KILL_AFTER_MS
//   fleet-stand-ins spoilt CONTROL[,...] DIRECTORY STATUS
#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace {

constexpr int kEvents = 60;
constexpr int kPieces = 60;
constexpr int kCalls = 160;
constexpr auto kGap = std::chrono::milliseconds(50);

std::mutex print_mutex;
const auto began = std::chrono::steady_clock::now();

void record(const std::string& line) {
  const std::scoped_lock lock(print_mutex);
  const double at = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  std::printf("%8.3f %s\n", at, line.c_str());
  std::fflush(stdout);
}

std::vector<std::string> split(const std::string& text, char mark) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, mark);) {
    parts.push_back(part);
  }
  return parts;
}

sockaddr_in addressOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int dial(const std::string& to, int seconds) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{seconds, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = addressOf(to);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

bool sendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool readMore(int descriptor, std::string& bytes) {
  char buffer[65536];
  const ssize_t count = recv(descriptor, buffer, sizeof buffer, 0);
  if (count <= 0) {
    return false;
  }
  bytes.append(buffer, static_cast<std::size_t>(count));
  return true;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool whole = false;  // for an answer: it ended as HTTP says that a complete one ends
  int status = 0;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

bool readHead(int descriptor, std::string& bytes, Message& message) {
  while (bytes.find("\r\n\r\n") == std::string::npos) {
    if (!readMore(descriptor, bytes)) {
      return false;
    }
  }
  const std::size_t end = bytes.find("\r\n\r\n");
  std::stringstream head(bytes.substr(0, end));
  bytes.erase(0, end + 4);
  std::getline(head, message.first_line);
  for (std::string line; std::getline(head, line);) {
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    value.erase(value.find_last_not_of(" \t\r") + 1);
    message.headers[name] = value;
  }
  return true;
}

void readChunks(int descriptor, std::string& bytes, Message& message) {
  while (true) {
    std::size_t line = bytes.find("\r\n");
    while (line == std::string::npos) {
      if (!readMore(descriptor, bytes)) {
        return;
      }
      line = bytes.find("\r\n");
    }
    const std::size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
    while (bytes.size() < line + 2 + size + 2) {
      if (!readMore(descriptor, bytes)) {
        return;
      }
    }
    message.body += bytes.substr(line + 2, size);
    bytes.erase(0, line + 2 + size + 2);
    if (size == 0) {
      message.whole = true;
      return;
    }
  }
}

Message readAnswer(int descriptor) {
  Message answer;
  std::string bytes;
  if (!readHead(descriptor, bytes, answer)) {
    return answer;
  }
  answer.status = std::atoi(answer.first_line.c_str() + answer.first_line.find(' '));
  if (!answer.header("content-length").empty()) {
    const std::size_t length = std::strtoul(answer.header("content-length").c_str(), nullptr, 10);
    while (bytes.size() < length && readMore(descriptor, bytes)) {
    }
    answer.whole = bytes.size() >= length;
    answer.body = bytes.substr(0, length);
  } else if (strcasecmp(answer.header("transfer-encoding").c_str(), "chunked") == 0) {
    readChunks(descriptor, bytes, answer);
  } else {
    while (readMore(descriptor, bytes)) {
    }
    answer.body = bytes;
    answer.whole = true;
  }
  return answer;
}

Message call(const std::string& to, const std::string& method, const std::string& path, const std::string& headers,
             const std::string& body, int seconds) {
  const int descriptor = dial(to, seconds);
  if (descriptor < 0) {
    return {};
  }
  std::string request = method + " " + path + " HTTP/1.1\r\n" + headers;
  if (!body.empty() || method == "POST") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  sendAll(descriptor, request + "\r\n" + body);
  Message answer = readAnswer(descriptor);
  close(descriptor);
  return answer;
}

std::string eventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece-" + std::to_string(number) + "\n\n";
}
std::string pieceText(int number) {
  return "piece " + std::to_string(number) + " of " + std::to_string(kPieces) + "\n";
}

// ---- the replica ----

struct Replica {
  std::string id;
  std::string service;
  std::string address;
  std::vector<std::string> controls;
};

void beat(const Replica& self) {
  std::size_t next = 0;
  std::string kept;
  for (int number = 1;; ++number) {
    const std::string to = kept.empty() ? self.controls[next] : kept;
    const std::string body = "{\"service\":\"" + self.service + "\",\"address\":\"" + self.address +
                             "\",\"zone\":\"z\",\"generation\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,"
                             "\"seqNo\":" + std::to_string(number) + "}";
    const Message answer = call(to, "POST", "/v1/instances/" + self.id + "/heartbeat",
                                "Host: " + to + "\r\nContent-Type: application/json\r\n", body, 1);
    if (answer.status / 100 != 2) {
      kept.clear();
      next = (next + 1) % self.controls.size();
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      continue;
    }
    const std::size_t place = answer.body.find("\"beatAddr\":\"");
    if (place != std::string::npos) {
      const std::size_t begin = place + std::strlen("\"beatAddr\":\"");
      kept = answer.body.substr(begin, answer.body.find('"', begin) - begin);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  }
}

// Answers in pieces over three seconds, as chunks. With UNFRAMED_EVERY=N each Nth has neither a length nor chunks and ends
// with its connection. Returns true if the connection is kept.
bool run(const Replica& self, int descriptor, const Message& request, const std::string& path) {
  static std::atomic<int> answers{0};
  const char* setting = std::getenv("UNFRAMED_EVERY");
  const int every = setting == nullptr ? 0 : std::atoi(setting);
  const bool unframed = every > 0 && ++answers % every == 0;
  const std::string id = request.header("x-attempt-id");
  const bool streams = path.rfind("/stream/", 0) == 0;
  record("replica " + self.id + " runs " + id + " " + path + (unframed ? " and answers without a length" : ""));
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + self.id + "\r\n" +
                           (unframed ? "Connection: close" : "Transfer-Encoding: chunked") +
                           "\r\nContent-Type: " + (streams ? "text/event-stream" : "text/plain") + "\r\n\r\n";
  if (!sendAll(descriptor, head)) {
    return false;
  }
  const int last = streams ? kEvents : kPieces;
  for (int number = 1; number <= last; ++number) {
    const std::string piece = streams ? eventText(number) : pieceText(number);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    if (!sendAll(descriptor, unframed ? piece : size + piece + "\r\n")) {
      return false;
    }
    std::this_thread::sleep_for(kGap);
  }
  record("replica " + self.id + " has sent the whole answer to " + id);
  return !unframed && sendAll(descriptor, "0\r\n\r\n");
}

// Answers in chunks. With SPOIL_EVERY=N one digit of the size of the chunk is wrong, by one, in each Nth of them.
std::string wholeAnswer(const std::string& id) {
  return "whole answer to " + id;
}
bool answerInChunks(const Replica& self, int descriptor, const Message& request) {
  static std::atomic<int> answers{0};
  const char* setting = std::getenv("SPOIL_EVERY");
  const int every = setting == nullptr ? 0 : std::atoi(setting);
  const bool spoilt = every > 0 && ++answers % every == 0;
  const std::string id = request.header("x-attempt-id");
  const std::string body = wholeAnswer(id);
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size() + (spoilt ? 1 : 0));
  if (spoilt) {
    record("replica " + self.id + " spoils the size of the chunk of " + id + ": " + std::to_string(body.size() + 1) + " for " +
           std::to_string(body.size()));
  }
  return sendAll(descriptor, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + self.id +
                                 "\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n" + size + body +
                                 "\r\n0\r\n\r\n");
}

void serve(const Replica& self, int descriptor) {
  std::string bytes;
  while (true) {
    Message request;
    if (!readHead(descriptor, bytes, request)) {
      break;
    }
    const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
    while (bytes.size() < length && readMore(descriptor, bytes)) {
    }
    bytes.erase(0, length);
    const std::vector<std::string> words = split(request.first_line, ' ');
    const std::string expected = request.header("x-expect-instance");
    if (words.size() > 1 && words[1] == "/v1/report") {
      const std::string body = R"({"stage":"colocated","models":[],"busy":false,"seqNo":0,"queued":0,"running":0,)"
                               R"("kvUsed":0,"kvTotal":1,"handles":0})";
      sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
    } else if (words.size() > 1 && words[1] == "/health") {
      sendAll(descriptor, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + self.id + "\r\nContent-Length: 0\r\n\r\n");
    } else if (request.header("x-attempt-id").empty()) {
      sendAll(descriptor, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    } else if (!expected.empty() && expected != self.id) {
      sendAll(descriptor, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + self.id + "\r\nContent-Length: 0\r\n\r\n");
    } else if (words.size() > 1 && words[1].rfind("/plain/chunks", 0) == 0) {
      if (!answerInChunks(self, descriptor, request)) {
        break;
      }
    } else {
      if (!run(self, descriptor, request, words.size() > 1 ? words[1] : "")) {
        break;
      }
    }
  }
  close(descriptor);
}

int replica(char** arguments) {
  const Replica self{arguments[0], arguments[1], arguments[2], split(arguments[3], ',')};
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int yes = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = addressOf(self.address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(listener, 128) != 0) {
    std::cerr << "replica " << self.id << ": the address can't be bound\n";
    return 2;
  }
  std::thread([&self] { beat(self); }).detach();
  while (true) {
    const int descriptor = accept(listener, nullptr, nullptr);
    if (descriptor >= 0) {
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([&self, descriptor] { serve(self, descriptor); }).detach();
    }
  }
}

// ---- the operator and the clients ----

std::string configuration() {
  const auto route = [](const std::string& name, const std::string& kind) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + name + "/\",\"kind\":\"" + kind +
           "\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1,"
           "\"sticky\":false,\"resumable\":false,\"gapTargetMs\":300}";
  };
  return "{\"generation\":1,\"routes\":[" + route("stream", "streaming") + "," + route("plain", "unsafe") +
         "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

bool putConfiguration(const std::vector<std::string>& controls) {
  std::string to = controls.front();
  for (int attempt = 0; attempt < 100; ++attempt) {
    const Message answer = call(to, "POST", "/v1/config/replace", "Host: " + to + "\r\nContent-Type: application/json\r\n",
                                configuration(), 2);
    if (answer.status == 200) {
      record("operator: configuration 1 acknowledged by " + to);
      return true;
    }
    if (answer.status == 307) {
      const std::string location = answer.header("location");  // http://IP:PORT/path
      to = location.substr(7, location.find('/', 7) - 7);
    } else {
      to = controls[static_cast<std::size_t>(attempt) % controls.size()];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return false;
}

// Asks a node that serves the directory, and takes one of the addresses that it names.
std::string resolve(const std::string& directory) {
  const Message answer = call(directory, "GET", "/v1/resolve?name=h.example&region=r&zone=z", "Host: " + directory + "\r\n", "", 1);
  const std::size_t begin = answer.body.find("[\"");
  if (answer.status != 200 || begin == std::string::npos) {
    return "";
  }
  return answer.body.substr(begin + 2, answer.body.find('"', begin + 2) - begin - 2);
}

int drive(char** arguments) {
  const std::vector<std::string> controls = split(arguments[0], ',');
  const std::string directory = arguments[1];
  const std::string status = arguments[2];
  const pid_t victim = std::atoi(arguments[3]);
  const int kill_after_ms = std::atoi(arguments[4]);
  if (!putConfiguration(controls)) {
    record("the configuration was not taken");
    return 2;
  }
  bool ready = false;
  for (int attempt = 0; attempt < 100 && !ready; ++attempt) {
    ready = call(status, "GET", "/v1/ready", "Host: " + status + "\r\n", "", 1).status == 200;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  if (!ready) {
    record("the router did not get ready");
    return 2;
  }
  // From here on every machine is in touch: contactMs is 3,000.
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  const std::string router = resolve(directory);
  if (router.empty()) {
    record("the directory names no router");
    return 2;
  }
  std::string whole_stream;
  std::string whole_body;
  for (int number = 1; number <= kEvents; ++number) {
    whole_stream += eventText(number);
  }
  for (int number = 1; number <= kPieces; ++number) {
    whole_body += pieceText(number);
  }
  std::atomic<int> broken{0};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < kCalls; ++number) {
    clients.emplace_back([&, number] {
      const bool streams = number % 2 == 0;
      char id[32];
      std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(getpid()) * 256 + static_cast<unsigned>(number));
      const std::string path = streams ? "/stream/x" : "/plain/x";
      record(std::string("client sends ") + id + " " + path);
      const Message answer = call(router, "POST", path,
                                  std::string("Host: h.example\r\nX-Attempt-Id: ") + id + "\r\nX-Deadline-Ms: 15000\r\n", "", 20);
      const bool success = answer.status / 100 == 2 && !answer.header("x-server-seal").empty();
      const std::string& expected = streams ? whole_stream : whole_body;
      const bool equal = answer.body == expected;
      record(std::string("client gets ") + id + " " + path + " status " + std::to_string(answer.status) + ", " +
             std::to_string(answer.body.size()) + " of " + std::to_string(expected.size()) + " bytes, " +
             (answer.whole ? "ended as complete" : "broken off"));
      served += success && answer.whole && equal ? 1 : 0;
      if (success && answer.whole && !equal) {
        ++broken;
        record(std::string("BROKEN ") + (streams ? "MIXED and ORDER" : "MIXED") + ": " + id +
               " ended early and looks complete to its client");
      }
    });
  }
  if (kill_after_ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kill_after_ms));
    record("the replica with process " + std::to_string(victim) + " crashes (SIGKILL)");
    kill(victim, SIGKILL);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record(std::to_string(served) + " of " + std::to_string(kCalls) + " served whole, " + std::to_string(broken) + " ended early and look complete");
  if (broken > 0) {
    return 1;
  }
  return kill_after_ms == 0 && served != kCalls ? 2 : 0;
}

bool becomesReady(const std::string& status) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    if (call(status, "GET", "/v1/ready", "Host: " + status + "\r\n", "", 1).status == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

// ---- case 10: answers whose chunk has a spoilt size ----

int spoilt(char** arguments) {
  const std::vector<std::string> controls = split(arguments[0], ',');
  const std::string directory = arguments[1];
  if (!putConfiguration(controls) || !becomesReady(arguments[2])) {
    record("the system did not get ready");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));  // every machine is in touch: contactMs is 3,000
  const std::string router = resolve(directory);
  if (router.empty()) {
    record("the directory names no router");
    return 2;
  }
  constexpr int kClients = 8;
  constexpr int kRequests = 100;
  std::atomic<int> whole{0};
  std::atomic<int> failed{0};
  std::atomic<int> broken{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int number = 0; number < kRequests; ++number) {
        char id[32];
        std::snprintf(id, sizeof id, "%08x%04x%04x", static_cast<unsigned>(getpid()), static_cast<unsigned>(client),
                      static_cast<unsigned>(number));
        const Message answer = call(router, "POST", "/plain/chunks",
                                    std::string("Host: h.example\r\nX-Attempt-Id: ") + id + "\r\nX-Deadline-Ms: 5000\r\n", "", 8);
        const bool success = answer.status / 100 == 2 && answer.whole && !answer.header("x-server-seal").empty();
        if (!success) {
          ++failed;
          record(std::string("client gets ") + id + ": status " + std::to_string(answer.status));
        } else if (answer.body == wholeAnswer(id)) {
          ++whole;
        } else {
          ++broken;
          record(std::string("BROKEN MIXED: client gets ") + id + " as a success, with " + std::to_string(answer.body.size()) +
                 " bytes instead of the replica's " + std::to_string(wholeAnswer(id).size()));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record("of " + std::to_string(kClients * kRequests) + " requests: whole " + std::to_string(whole) + ", failed " +
         std::to_string(failed) + ", a success with another body " + std::to_string(broken));
  return broken > 0 ? 1 : (whole < kClients * kRequests / 2 ? 2 : 0);
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string mode = count > 1 ? arguments[1] : "";
  if (mode == "replica" && count == 6) {
    return replica(arguments + 2);
  }
  if (mode == "drive" && count == 7) {
    return drive(arguments + 2);
  }
  if (mode == "spoilt" && count == 5) {
    return spoilt(arguments + 2);
  }
  std::cerr << "usage: see the head of fleet_stand_ins.cc\n";
  return 2;
}
