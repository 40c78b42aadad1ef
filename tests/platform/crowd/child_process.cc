#include "platform/crowd/child_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace ferryrock::crowd {
namespace {

constexpr int kExitNotStarted = 127;
/// The stack of each thread counts as memory under RLIMIT_DATA, whether it is used or not.
constexpr rlim_t kStackBytes = rlim_t{1} << 20;

void setLimit(__rlimit_resource resource, rlim_t value) {
  const rlimit limit{value, value};
  if (::setrlimit(resource, &limit) != 0) {
    ::_exit(kExitNotStarted);
  }
}

/// Replaces the forked process by the program; doesn't return.
[[noreturn]] void runProgram(std::vector<char*>& arguments, const ProcessLimits& limits, int output) {
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  setLimit(RLIMIT_STACK, kStackBytes);
  setLimit(RLIMIT_DATA, limits.memory_bytes);
  setLimit(RLIMIT_NOFILE, limits.descriptors);
  ::execv(arguments.front(), arguments.data());
  ::_exit(kExitNotStarted);
}

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, const ProcessLimits& limits,
                           const std::string& output_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  constexpr mode_t kOwnerOnly = 0600;
  const int output = ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOwnerOnly);
  process_ = ::fork();
  if (process_ == 0) {
    runProgram(arguments, limits, output);
  }
  ::close(output);
  if (process_ < 0) {
    throw std::runtime_error("fork failed");
  }
}

ChildProcess::~ChildProcess() {
  if (isRunning()) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, &status_, 0);
  }
}

bool ChildProcess::isRunning() {
  ended_ = ended_ || ::waitpid(process_, &status_, WNOHANG) != 0;
  return !ended_;
}

void ChildProcess::signal(int number) const {
  ::kill(process_, number);
}

std::string ChildProcess::endText() {
  if (isRunning()) {
    return "";
  }
  return WIFSIGNALED(status_) ? "signal " + std::to_string(WTERMSIG(status_))
                              : "exit code " + std::to_string(WEXITSTATUS(status_));
}

std::size_t ChildProcess::peakMemoryBytes() const {
  constexpr std::size_t kKibibyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  std::string word;
  std::size_t kibibytes = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> kibibytes;
    }
  }
  return kibibytes * kKibibyte;
}

std::size_t ChildProcess::openDescriptors() const {
  std::error_code fault;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(process_) + "/fd", fault);
  return fault ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::size_t unreadBytes(const std::vector<std::uint16_t>& ports) {
  constexpr int kHexadecimal = 16;
  std::ifstream sockets("/proc/net/tcp");
  std::string line;
  std::getline(sockets, line);  // the titles
  std::size_t bytes = 0;
  while (std::getline(sockets, line)) {
    // "number: local_address:PORT remote_address:PORT state tx_queue:rx_queue ..."
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const auto port =
        static_cast<std::uint16_t>(std::stoul(local.substr(local.find(':') + 1), nullptr, kHexadecimal));
    constexpr const char* kListening = "0A";
    if (state != kListening && std::find(ports.begin(), ports.end(), port) != ports.end()) {
      bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return bytes;
}

}  // namespace ferryrock::crowd
