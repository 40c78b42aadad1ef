#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// State of a replica according to its latest report.
struct ReplicaRecord {
  wire::ReplicaReport report;
  TimePoint last_contact{};          ///< time of the last contact
  bool leaving = false;              ///< drains: gets no new calls
  std::uint64_t leaving_change = 0;  ///< ReplicaRegistry::changes() when `leaving` was set
  std::uint64_t last_change = 0;     ///< ReplicaRegistry::changes() at the last change that concerns routers
  /// Adapters that the replica accepted for loading, by (model, adapter), until a report lists them; with the
  /// time of the order.
  std::map<std::pair<ModelName, std::string>, TimePoint> assumed_adapters;
  std::optional<double> calls_per_second;  ///< limit over all routers together; nullopt: no limit
  bool limit_ended = false;                ///< the replica had a limit, which has ended
  /// Models whose unload was ordered, with the time of the order; they are hidden from routers.
  std::map<ModelName, TimePoint> withdrawn_models;

  /// Models and adapters that routers may use: the reported ones without withdrawn models, plus assumed
  /// adapters.
  std::vector<wire::LoadedModel> usable() const;
};

enum class ReportOutcome : std::uint8_t {
  Stale,      ///< superseded, or from a replica or incarnation that was replaced: the report was ignored
  Unchanged,  ///< a heartbeat without a change that concerns routers
  Changed,    ///< routers need an update
};

/// Replicas that report to the cell. Soft state: a member starts with an empty registry, which fills as
/// replicas report. A replica that restarts under its name replaces its former incarnation, also at another
/// address, and late reports of the former incarnation are ignored. Used by one thread.
class ReplicaRegistry {
 public:
  /// Applies a report. A report without an address is a bare leave notice.
  /// is_configured: the catalog contains the report's service. A report of any other service is ignored while
  /// its address belongs to a replica that is alive.
  ReportOutcome accept(const wire::ReplicaReport& report, TimePoint now, bool is_configured = true);
  /// Resolves an id without a start time, as in bare leave notices, to the replica's latest known
  /// incarnation; returns the id itself if it has a start time or no incarnation is known.
  ReplicaId currentIncarnation(const ReplicaId& id) const;
  /// Records an unchanged report of a known replica; others are ignored.
  void recordHeartbeat(const wire::UnchangedReport& alive, TimePoint now);
  /// Marks a known replica as leaving until its incarnation ends; unknown replicas are ignored.
  void markLeaving(const ReplicaId& id);
  /// Records that routers must not use a replica without a record here: a router may know it from an earlier
  /// leader. Known replicas are ignored. The id may be a name without a start time.
  void closeUnknown(const ReplicaId& id);
  /// Replicas recorded by closeUnknown() that have no record, with the change count of each. They are listed
  /// as removed in tables that don't list all replicas.
  const std::map<ReplicaId, std::uint64_t>& closedUnknown() const { return closed_unknown_; }
  /// Sets the limit of a known replica over all routers; nullopt: the limit has ended. Unknown replicas are
  /// ignored.
  void setLimit(const ReplicaId& id, std::optional<double> calls_per_second);
  /// Removes all limits, which came from an earlier leader and may be outdated.
  void clearLimits();
  /// Replaces the set of zones whose replicas accept no new calls.
  void setEvacuated(const std::set<ZoneName>& zones);
  bool isEvacuated(const ReplicaRecord& record) const { return evacuated_.contains(record.report.zone); }
  /// Returns false for a replica that is leaving or whose zone is evacuated.
  bool acceptsCalls(const ReplicaRecord& record) const { return !record.leaving && !isEvacuated(record); }
  /// Removes replicas whose last contact is more than `silence` ago, and assumed adapters and withdrawn
  /// models that no report has confirmed within 4 s.
  void expire(TimePoint now, Duration silence);

  void assumeAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter, TimePoint now);
  void dropAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter);
  void withdrawModel(const ReplicaId& id, const ModelName& model, TimePoint now);
  void restoreModel(const ReplicaId& id, const ModelName& model);

  /// Makes incremental updates from earlier revisions impossible, so that all routers get a full table: the
  /// tables that they hold may list replicas that are gone.
  void forceFullUpdates();

  const std::map<ReplicaId, ReplicaRecord>& replicas() const { return replicas_; }
  const ReplicaRecord* find(const ReplicaId& id) const;
  /// Change count; rises with every change that concerns routers.
  std::uint64_t changes() const { return changes_; }
  /// Returns and clears the replicas that changed for routers or were removed since the last call.
  std::set<ReplicaId> takeChangedIds() { return std::exchange(changed_ids_, {}); }
  /// Appends the replicas removed after the given change count. Returns false if the retained removals don't
  /// reach back that far.
  bool removedSince(std::uint64_t change, std::vector<ReplicaId>& removed) const;

 private:
  struct Removal {
    std::uint64_t change = 0;
    ReplicaId id;
  };

  /// Latest known incarnation of a replica that reports its start time.
  struct Incarnation {
    ReplicaId id;
    TimePoint last_contact{};
  };

  void remove(std::map<ReplicaId, ReplicaRecord>::iterator replica, TimePoint now);
  void recordRemoval(const ReplicaId& id);
  ReportOutcome addReplica(const wire::ReplicaReport& report, TimePoint now);
  /// Returns true for a delayed report: its sender was removed, and its address belongs to another replica
  /// that is alive.
  bool isReplaced(const wire::ReplicaReport& report, TimePoint now) const;
  bool addressIsInUse(const wire::ReplicaReport& report, TimePoint now) const;
  void setReport(ReplicaRecord& record, const wire::ReplicaReport& report);
  void removeFromAddressIndex(const ReplicaRecord& record);
  bool hasNewerIncarnation(const ReplicaId& id) const;
  void recordIncarnation(const ReplicaId& id, TimePoint now);
  void removeOthersAt(const std::string& address, const ReplicaId& id, TimePoint now);
  ReplicaRecord* findMutable(const ReplicaId& id);
  void recordChange(ReplicaRecord& record);

  std::map<ReplicaId, ReplicaRecord> replicas_;
  std::map<std::string, std::set<ReplicaId>> by_address_;
  std::set<ZoneName> evacuated_;
  std::map<ReplicaId, TimePoint> removed_at_;  ///< removed replicas with the time of removal; kept for 5 min
  std::map<std::string, Incarnation> incarnations_;  ///< by the replica's name
  std::deque<Removal> removals_;                     ///< oldest first
  std::map<ReplicaId, std::uint64_t> closed_unknown_;
  std::uint64_t removals_complete_from_ = 0;  ///< removals_ is complete for changes after this count
  std::uint64_t changes_ = 0;
  std::set<ReplicaId> changed_ids_;
};

}  // namespace ferryrock::services
