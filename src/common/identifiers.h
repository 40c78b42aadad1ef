#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ferryrock {

/// Strongly typed name: names with different tags don't convert into each other.
/// Tag is an incomplete type that only distinguishes the types.
template <class Tag>
struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  friend bool operator==(const Name&, const Name&) = default;
  friend auto operator<=>(const Name&, const Name&) = default;  // NOLINT(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, const Name& name) { return out << name.value; }
};

/// Strongly typed number: numbers with different tags don't convert into each other.
template <class Tag>
struct Number {
  std::uint64_t value = 0;

  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t number) : value(number) {}

  Number next() const { return Number{value + 1}; }
  friend bool operator==(const Number&, const Number&) = default;
  friend auto operator<=>(const Number&, const Number&) = default;  // NOLINT(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, const Number& number) { return out << number.value; }
};

/// A process of the system (a router or a control member). Unique among all processes of one installation.
using NodeName = Name<struct NodeNameTag>;
/// A model, or an adapter addressed as a separate model, under the name that callers use.
using ModelName = Name<struct ModelNameTag>;
/// A version of a model's or adapter's checkpoint.
using ModelVersion = Name<struct ModelVersionTag>;
/// One engine process on one machine.
using EngineName = Name<struct EngineNameTag>;
/// A machine, under its name in the platform's machine list.
using MachineName = Name<struct MachineNameTag>;
/// Failure domain: all its machines may fail at the same time.
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;
/// One request of a caller; returned to the caller in X-Request-Id.
using RequestId = Name<struct RequestIdTag>;
/// One attempt to run a request on one engine.
using AttemptId = Name<struct AttemptIdTag>;
/// Key chosen by the caller for a request that must run at most once.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/// The operator's identifier of one change; resending the change returns the first outcome.
using ChangeId = Name<struct ChangeIdTag>;

/// A service of the catalog: a set of replicas that serve the same calls.
using ServiceName = Name<struct ServiceNameTag>;
/// A route of the catalog, which maps calls to services.
using RouteName = Name<struct RouteNameTag>;
/// One incarnation of one replica of a service; a restarted replica has a new identifier.
using ReplicaId = Name<struct ReplicaIdTag>;

/// A tenant, identified by the keys that its calls carry.
using TenantName = Name<struct TenantNameTag>;

/// Election term of the quorum log.
using Term = Number<struct TermTag>;
/// Position in the quorum log; the first entry is 1.
using LogIndex = Number<struct LogIndexTag>;
/// Identity of a voter or learner; never reused after the loss of its disk.
using MemberId = Number<struct MemberIdTag>;
/// Identity of a member's disk, drawn at random when its data folder is first used; 0 means not known yet.
using DiskId = Number<struct DiskIdTag>;
/// Version of the settings tree; 0 is the empty tree.
using TreeVersion = Number<struct TreeVersionTag>;
/// Version of the service catalog, chosen by the operator; 0 means that no catalog has been accepted yet.
using CatalogVersion = Number<struct CatalogVersionTag>;
/// Number that an engine increments at each start.
using Incarnation = Number<struct IncarnationTag>;
/// Number of a replica slot; never reused within a cell.
using SlotId = Number<struct SlotIdTag>;

}  // namespace ferryrock

template <class Tag>
struct std::hash<ferryrock::Name<Tag>> {
  std::size_t operator()(const ferryrock::Name<Tag>& name) const {
    return std::hash<std::string>{}(name.value);
  }
};

template <class Tag>
struct std::hash<ferryrock::Number<Tag>> {
  std::size_t operator()(const ferryrock::Number<Tag>& number) const {
    return std::hash<std::uint64_t>{}(number.value);
  }
};
