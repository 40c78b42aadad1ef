#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ferryrock::http {

/// What a process may keep for its clients at one moment.
struct ClientLimits {
  std::size_t memory_bytes = std::size_t{1} << 30;
  std::size_t connections = 20'000;
};

/// Uses of memory. Each may grow until the process keeps a share of ClientLimits::memory_bytes for all uses
/// together, so that large bodies leave memory to answers, and both to connections, heads and small bodies.
enum class MemoryUse {
  Body,    ///< a large body that is received
  Answer,  ///< a response that is received or waits for its client
  Small,   ///< a connection, a head or a small body
};

/// Something that can be given up for others; the one with the highest cost first.
struct EvictionCandidate {
  double cost = 0;
  std::function<void()> evict;
};

/// A server whose requests and connections can be evicted.
class EvictionSource {
 public:
  virtual ~EvictionSource() = default;
  /// The unfinished request or unread answer whose memory is evicted first. The cost is its bytes times the
  /// seconds since it began: clients that stay with much memory give way to those that come and go, however
  /// often they send a byte. It is less for an answer, as work is lost with it.
  virtual std::optional<EvictionCandidate> requestToEvict() = 0;
  /// The connection without a request in service that is evicted first.
  virtual std::optional<EvictionCandidate> connectionToEvict() = 0;
};

/// Counters for metrics.
struct ClientBudgetCounts {
  std::uint64_t evicted_requests = 0;
  std::uint64_t evicted_connections = 0;
  std::uint64_t refused_connections = 0;
};

/// The account of what a process keeps for its clients on all of its ports: memory is taken from it before it
/// is allocated. If it is used up, what costs the most is evicted. Shared by the servers and clients of a
/// process; used by one thread.
class ClientBudget {
 public:
  explicit ClientBudget(const ClientLimits& limits) : limits_(limits) {}
  ClientBudget(const ClientBudget&) = delete;
  ClientBudget& operator=(const ClientBudget&) = delete;

  const ClientLimits& limits() const { return limits_; }
  std::size_t memoryBytes() const { return memory_bytes_; }
  std::size_t connections() const { return connections_; }
  const ClientBudgetCounts& counts() const { return counts_; }

  /// Takes memory; returns false if it isn't there even after all evictions that help.
  bool takeMemory(std::size_t bytes, MemoryUse use);
  /// Takes memory that is in use in any case, after all evictions that help.
  void takeMemoryAnyway(std::size_t bytes, MemoryUse use);
  void returnMemory(std::size_t bytes) { memory_bytes_ -= bytes; }

  /// Evicts connections until another one fits; returns false if it doesn't.
  bool makeRoomForConnection();
  void connectionOpened();
  void connectionClosed();

  /// The source must be removed before it is destroyed.
  void addSource(EvictionSource& source) { sources_.push_back(&source); }
  void removeSource(EvictionSource& source) { std::erase(sources_, &source); }

 private:
  bool fits(std::size_t bytes, MemoryUse use) const;
  bool evictRequest();
  bool evictConnection();

  const ClientLimits limits_;
  std::size_t memory_bytes_ = 0;
  std::size_t connections_ = 0;
  ClientBudgetCounts counts_;
  std::vector<EvictionSource*> sources_;
};

/// Memory taken from a budget, returned on destruction. Without a budget, any amount fits.
class MemoryReservation {
 public:
  explicit MemoryReservation(std::shared_ptr<ClientBudget> budget = nullptr) : budget_(std::move(budget)) {}
  ~MemoryReservation() { shrink(0); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  std::size_t bytes() const { return bytes_; }
  /// Changes the amount; returns false, and changes nothing, if the budget doesn't have it. Taking may evict
  /// the request that this reservation belongs to.
  bool resize(std::size_t bytes, MemoryUse use);
  void resizeAnyway(std::size_t bytes, MemoryUse use);
  void release() { shrink(0); }

 private:
  void shrink(std::size_t bytes);

  std::shared_ptr<ClientBudget> budget_;
  std::size_t bytes_ = 0;
};

/// Memory of the machine that this process can use: the least of the physical memory and the process's own
/// limits (RLIMIT_AS, RLIMIT_DATA), in bytes.
std::size_t machineMemoryBytes();
/// Number of descriptors that this process may have open (RLIMIT_NOFILE).
std::size_t descriptorLimit();
/// For a process whose settings have no limits: half of its memory, 512 MiB at most.
ClientLimits defaultClientLimits();
/// Connections of clients within a limit of descriptors: a quarter of it, and at least 64, are kept for files
/// and connections to others.
std::size_t connectionsWithin(std::size_t descriptors);

}  // namespace ferryrock::http
