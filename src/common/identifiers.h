#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace ferryrock {

/// A name that can't be mixed up with a name of another kind.
/// Tag is an incomplete type that only distinguishes the kinds.
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

/// A number that can't be mixed up with a number of another kind.
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

/// A process of the system: a router, a control member. Unique over all processes of one deployment.
using NodeName = Name<struct NodeNameTag>;
/// A model, or an adapter addressed as a model of its own, as callers write it.
using ModelName = Name<struct ModelNameTag>;
/// A version of a model's or adapter's checkpoint.
using ModelVersion = Name<struct ModelVersionTag>;
/// One engine process on one machine.
using EngineName = Name<struct EngineNameTag>;
/// A machine, as the platform's list names it.
using MachineName = Name<struct MachineNameTag>;
/// Failure domain that may be lost at once.
using ZoneName = Name<struct ZoneNameTag>;
using RegionName = Name<struct RegionNameTag>;
/// One request of a caller, as told to it in X-Request-Id.
using RequestId = Name<struct RequestIdTag>;
/// One try at running a request on one engine.
using AttemptId = Name<struct AttemptIdTag>;
/// The caller's key of a request that may not be repeated.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/// The operator's identifier of one change; resending it yields the first outcome.
using ChangeId = Name<struct ChangeIdTag>;

/// A service of the catalog: replicas that answer the same calls.
using ServiceName = Name<struct ServiceNameTag>;
/// A route of the catalog: which calls go to which services.
using RouteName = Name<struct RouteNameTag>;
/// One life of one replica of a service; a replica that starts again has a new one.
using ReplicaId = Name<struct ReplicaIdTag>;

/// A customer of the services whose calls carry its keys.
using TenantName = Name<struct TenantNameTag>;

/// Election term of the quorum log.
using Term = Number<struct TermTag>;
/// Position in the quorum log; the first entry is 1.
using LogIndex = Number<struct LogIndexTag>;
/// Identity of a voter or learner; never used again once its disk was lost.
using MemberId = Number<struct MemberIdTag>;
/// Identity of a member's disk, drawn at random when its data folder is first used; 0: not known yet.
using DiskId = Number<struct DiskIdTag>;
/// Version of the settings tree; 0 is the empty tree.
using TreeVersion = Number<struct TreeVersionTag>;
/// Version of the service catalog, chosen by the operator; 0: none was accepted yet.
using CatalogVersion = Number<struct CatalogVersionTag>;
/// Number that an engine raises at each start.
using Incarnation = Number<struct IncarnationTag>;
/// Number of a replica slot; never used again in one cell.
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
