#pragma once

#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "platform/crowd/child_process.h"
#include "platform/crowd/crowd.h"
#include "platform/raw_replica.h"

namespace ferryrock::crowd {

/// Limits of the two processes: the least memory that a machine of theirs has, and little more than the 1,024
/// descriptors that the event loop needs to start.
inline constexpr ProcessLimits kRouterLimits{std::size_t{120'000'000}, 1'100};
inline constexpr ProcessLimits kMemberLimits{std::size_t{256'000'000}, 1'100};

/// The largest body that callers may send.
inline constexpr std::size_t kLargestBody = std::size_t{4} << 20;

/// One control member and one router, each a process of its own under limits, and a replica that takes part
/// in this process. Serves calls once it is constructed; a call with a body of the largest size is served
/// too.
class SmallCell {
 public:
  /// script: what the replica does with each call; empty: it answers at once.
  explicit SmallCell(platform::RawReplica::Script script = {});
  ~SmallCell();

  const Address& calls() const { return calls_; }
  const Address& status() const { return status_; }
  const Address& relay() const { return relay_; }
  const Address& control() const { return control_; }
  const Address& directory() const { return directory_; }
  const Address& internal() const { return internal_; }
  ChildProcess& router() { return *router_; }
  ChildProcess& member() { return *member_; }

  /// Each sends one ordinary request on a new connection and returns the status of the answer; 0: none came.
  int call(std::size_t body_bytes = 4) const;
  int askReady() const;
  int askCatalog() const;
  int askDirectory() const;

 private:
  void startProcesses();
  void waitUntilServing();
  std::string settingsFile(const std::string& name, const std::string& text) const;
  /// Sends until the answer has the status 200. Throws std::runtime_error if it never has.
  void untilOk(const std::function<int()>& request, const std::string& what) const;
  int beat();
  /// Sends the replica's heartbeats until the cell is destroyed.
  void keepBeating();

  std::filesystem::path folder_;
  Address calls_, status_, relay_, control_, directory_, internal_;
  std::unique_ptr<platform::RawReplica> replica_;
  std::unique_ptr<ChildProcess> member_;
  std::unique_ptr<ChildProcess> router_;
  int beats_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread beats_thread_;
};

}  // namespace ferryrock::crowd
