#include "http/client_budget.h"

#include <sys/resource.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <limits>

namespace ferryrock::http {
namespace {

/// Memory of an open connection: the pool of libmicrohttpd, and what this process keeps beside it.
constexpr std::size_t kConnectionBytes = std::size_t{36} << 10;
constexpr std::size_t kEighths = 8;

/// The share of the memory, in eighths, that all uses together may have after this one has grown.
std::size_t eighthsFor(MemoryUse use) {
  constexpr std::size_t kBody = 5;
  constexpr std::size_t kAnswer = 7;
  switch (use) {
    case MemoryUse::Body:
      return kBody;
    case MemoryUse::Answer:
      return kAnswer;
    case MemoryUse::Small:
      break;
  }
  return kEighths;
}

/// Evicts the first of the sources' candidates; returns false if there is none.
template <class Propose>
bool evictFirst(const std::vector<EvictionSource*>& sources, Propose propose) {
  std::optional<EvictionCandidate> first;
  for (EvictionSource* source : sources) {
    std::optional<EvictionCandidate> candidate = propose(*source);
    if (candidate && (!first || candidate->cost > first->cost)) {
      first = std::move(candidate);
    }
  }
  if (first) {
    first->evict();
  }
  return first.has_value();
}

std::size_t softLimit(__rlimit_resource resource) {
  rlimit limit{};
  const bool limited = ::getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return limited ? limit.rlim_cur : std::numeric_limits<std::size_t>::max();
}

}  // namespace

bool ClientBudget::fits(std::size_t bytes, MemoryUse use) const {
  return memory_bytes_ + bytes <= limits_.memory_bytes / kEighths * eighthsFor(use);
}

bool ClientBudget::evictRequest() {
  const bool evicted = evictFirst(sources_, [](EvictionSource& source) { return source.requestToEvict(); });
  counts_.evicted_requests += evicted ? 1 : 0;
  return evicted;
}

bool ClientBudget::evictConnection() {
  const bool evicted =
      evictFirst(sources_, [](EvictionSource& source) { return source.connectionToEvict(); });
  counts_.evicted_connections += evicted ? 1 : 0;
  return evicted;
}

bool ClientBudget::takeMemory(std::size_t bytes, MemoryUse use) {
  while (!fits(bytes, use)) {
    if (!evictRequest()) {
      return false;
    }
  }
  memory_bytes_ += bytes;
  return true;
}

void ClientBudget::takeMemoryAnyway(std::size_t bytes, MemoryUse use) {
  if (!takeMemory(bytes, use)) {
    memory_bytes_ += bytes;
  }
}

/// An evicted connection closes soon after, so that one eviction makes room for one connection.
bool ClientBudget::makeRoomForConnection() {
  if (connections_ < limits_.connections && fits(kConnectionBytes, MemoryUse::Small)) {
    return true;
  }
  if (connections_ < limits_.connections && evictRequest() && fits(kConnectionBytes, MemoryUse::Small)) {
    return true;
  }
  if (evictConnection()) {
    return true;
  }
  ++counts_.refused_connections;
  return false;
}

void ClientBudget::connectionOpened() {
  ++connections_;
  memory_bytes_ += kConnectionBytes;
}

void ClientBudget::connectionClosed() {
  --connections_;
  memory_bytes_ -= kConnectionBytes;
}

/// Taking may evict the request of this very reservation, which then holds the growth alone.
bool MemoryReservation::resize(std::size_t bytes, MemoryUse use) {
  if (bytes <= bytes_) {
    shrink(bytes);
    return true;
  }
  const std::size_t growth = bytes - bytes_;
  if (budget_ && !budget_->takeMemory(growth, use)) {
    return false;
  }
  bytes_ += growth;
  return true;
}

void MemoryReservation::resizeAnyway(std::size_t bytes, MemoryUse use) {
  if (bytes <= bytes_) {
    shrink(bytes);
    return;
  }
  const std::size_t growth = bytes - bytes_;
  if (budget_) {
    budget_->takeMemoryAnyway(growth, use);
  }
  bytes_ += growth;
}

void MemoryReservation::shrink(std::size_t bytes) {
  if (budget_) {
    budget_->returnMemory(bytes_ - bytes);
  }
  bytes_ = bytes;
}

std::size_t machineMemoryBytes() {
  struct sysinfo machine {};
  const std::size_t physical = ::sysinfo(&machine) == 0 ? std::size_t{machine.totalram} * machine.mem_unit
                                                        : std::numeric_limits<std::size_t>::max();
  return std::min({physical, softLimit(RLIMIT_AS), softLimit(RLIMIT_DATA)});
}

std::size_t descriptorLimit() {
  return softLimit(RLIMIT_NOFILE);
}

ClientLimits defaultClientLimits() {
  constexpr std::size_t kMaxMemoryBytes = std::size_t{512} << 20;
  return {std::min(machineMemoryBytes() / 2, kMaxMemoryBytes), connectionsWithin(descriptorLimit())};
}

std::size_t connectionsWithin(std::size_t descriptors) {
  constexpr std::size_t kLeastKept = 64;
  constexpr std::size_t kKeptShare = 4;
  const std::size_t kept = std::max(descriptors / kKeptShare, kLeastKept);
  return descriptors > kept ? descriptors - kept : 1;
}

}  // namespace ferryrock::http
