#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/policies.h"
#include "wire/messages.h"

namespace ferryrock::placement {

/// Demand reported by all routers, aggregated by model name and by base model. Memory is bounded by the
/// number of names with current requests. Costs: O(log n) for each row of a report; removing a router is
/// O(its rows).
class DemandTable {
 public:
  /// Returns the base model of a name; nullopt if the settings tree does not contain the name, in which case
  /// its demand is ignored.
  using BaseLookup = std::function<std::optional<ModelName>(const ModelName&)>;

  explicit DemandTable(BaseLookup base_of) : base_of_(std::move(base_of)) {}

  /// A name whose demand changed or that received requests.
  struct Change {
    ModelName name;
    ModelName base;
    bool used = false;  ///< requests arrived, are waiting or are running
  };

  /// Applies a report; a report that arrives after a later one of the same router is dropped.
  std::vector<Change> apply(const wire::DemandReport& report, TimePoint now);
  std::vector<Change> removeRouter(const NodeName& router);
  /// Drops rows that have not been renewed within their lifetime, so that a lost report cannot keep a model
  /// loaded indefinitely.
  std::vector<Change> expire(TimePoint now);
  std::optional<TimePoint> nextExpiry() const;
  /// Resolves the base model of a name again and moves its rows there.
  std::vector<Change> regroup(const ModelName& name);

  DemandFigures ofBase(const ModelName& base) const { return figures(by_base_, base); }
  DemandFigures ofName(const ModelName& name) const { return figures(by_name_, name); }
  /// Names of a base model with waiting or running requests.
  std::vector<ModelName> namesOf(const ModelName& base) const;

 private:
  /// One router's requests for one name.
  struct Row {
    ModelName base;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::optional<TimePoint> deadline;
    TimePoint expiry{};
  };
  struct Total {
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    std::uint32_t routers_waiting = 0;
    std::multiset<TimePoint> deadlines;
    std::uint32_t rows = 0;
  };
  struct Router {
    std::uint64_t sequence = 0;
    std::map<ModelName, Row> rows;
  };
  struct Expiry {
    TimePoint time{};
    NodeName router;
    ModelName name;
    friend auto operator<=>(const Expiry&, const Expiry&) = default;  // NOLINT(modernize-use-nullptr)
  };
  using Totals = std::map<ModelName, Total>;

  static DemandFigures figures(const Totals& totals, const ModelName& key);
  static void addTo(Totals& totals, const ModelName& key, const Row& row);
  static void removeFrom(Totals& totals, const ModelName& key, const Row& row);
  bool renewRow(const NodeName& router, const wire::ModelDemand& demand, const ModelName& base,
                TimePoint now);
  void insertRow(const NodeName& router, const ModelName& name, const Row& row);
  std::optional<ModelName> eraseRow(const NodeName& router, const ModelName& name);
  std::optional<Change> applyRow(const NodeName& router, const wire::ModelDemand& demand, TimePoint now);

  BaseLookup base_of_;
  std::map<NodeName, Router> routers_;
  Totals by_name_;
  Totals by_base_;
  std::map<ModelName, std::set<ModelName>> names_of_base_;
  std::map<ModelName, std::set<NodeName>> routers_of_name_;
  std::set<Expiry> expiries_;
};

}  // namespace ferryrock::placement
