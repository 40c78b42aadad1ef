#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ferryrock::crowd {

/// Limits that the kernel sets to a process.
struct ProcessLimits {
  std::size_t memory_bytes = 0;  ///< RLIMIT_DATA: heap, private memory and stacks of threads
  std::size_t descriptors = 0;   ///< RLIMIT_NOFILE
};

/// A program of the system that runs as a process of its own, under limits. Killed on destruction.
class ChildProcess {
 public:
  /// output_file: what the process writes to its standard output and error is appended here.
  ChildProcess(std::vector<std::string> command, const ProcessLimits& limits, const std::string& output_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// False once the process has ended, for whatever reason.
  bool isRunning();
  /// number: of a signal, e.g. SIGTERM.
  void signal(int number) const;
  /// How the process ended: its exit code or signal; empty while it runs.
  std::string endText();
  /// The most memory that the process has had in use, in bytes (VmHWM).
  std::size_t peakMemoryBytes() const;
  std::size_t openDescriptors() const;

 private:
  pid_t process_ = 0;
  bool ended_ = false;
  int status_ = 0;
};

/// Bytes that have arrived for sockets bound to one of the ports and aren't read, over all such sockets.
std::size_t unreadBytes(const std::vector<std::uint16_t>& ports);

}  // namespace ferryrock::crowd
