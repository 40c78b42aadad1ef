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

/// A replica as it last reported itself.
struct ReplicaRecord {
  wire::ReplicaReport report;
  TimePoint heard{};
  bool leaving = false;
  std::uint64_t left = 0;     ///< the registry's count when it was found to leave
  std::uint64_t changed = 0;  ///< the registry's count when routers last got something new about it
  /// Adapters whose load was taken by the replica, by (model, adapter), until they show in a report.
  std::map<std::pair<ModelName, std::string>, TimePoint> assumed_adapters;
  std::optional<double> calls_per_second;  ///< that it takes from all routers together; nullopt: no limit
  bool limit_ended = false;                ///< it had one
  /// Models whose unload was ordered; routers don't see them any more.
  std::map<ModelName, TimePoint> withdrawn_models;

  /// What routers may use.
  std::vector<wire::HeldModel> usable() const;
};

enum class ReportNews : std::uint8_t {
  Late,     ///< older than what is known, or of a replica or a life that was replaced: nothing was taken
  Same,     ///< a sign of life
  Changed,  ///< routers need to know
};

/// Replicas that report themselves. Soft state: a member that starts knows none until they report. A replica
/// that starts again under its name replaces its former life, wherever that one stood, and reports of the
/// former life that come late change nothing. Used by one thread.
class ReplicaRegistry {
 public:
  /// A report without an address is a bare notice that the replica leaves.
  /// is_configured: the catalog names the report's service. A report of another service takes no address from
  /// a replica that is alive.
  ReportNews accept(const wire::ReplicaReport& report, TimePoint now, bool is_configured = true);
  /// The life that a notice means which names a replica and no start; the id itself if none is known.
  ReplicaId currentLife(const ReplicaId& id) const;
  /// A known replica reported the same as before.
  void noteAlive(const wire::ReplicaAlive& alive, TimePoint now);
  /// Sticky for the replica's life; known replicas only.
  void markLeaving(const ReplicaId& id);
  /// Known replicas only; nullopt: it has ended.
  void setLimit(const ReplicaId& id, std::optional<double> calls_per_second);
  /// What an earlier leader's routers heard isn't known to be so any more.
  void clearLimits();
  /// The zones whose replicas take no new calls, in place of those before.
  void setEvacuated(const std::set<ZoneName>& zones);
  bool isEvacuated(const ReplicaRecord& record) const { return evacuated_.contains(record.report.zone); }
  /// False for a replica that leaves or whose zone is evacuated.
  bool takesCalls(const ReplicaRecord& record) const { return !record.leaving && !isEvacuated(record); }
  /// Forgets replicas that have been silent since then, and assumptions that no report has confirmed.
  void expire(TimePoint now, Duration silence);

  void assumeAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter, TimePoint now);
  void dropAdapter(const ReplicaId& id, const ModelName& model, const std::string& adapter);
  void withdrawModel(const ReplicaId& id, const ModelName& model, TimePoint now);
  void restoreModel(const ReplicaId& id, const ModelName& model);

  /// From here on routers need the whole table: what they hold may list replicas that are gone.
  void renewAll();

  const std::map<ReplicaId, ReplicaRecord>& replicas() const { return replicas_; }
  const ReplicaRecord* find(const ReplicaId& id) const;
  /// Raised whenever routers need to know something new.
  std::uint64_t changes() const { return changes_; }
  /// Replicas that changed for routers, or were forgotten, since this was last asked.
  std::set<ReplicaId> takeTouched() { return std::exchange(touched_, {}); }
  /// Replicas forgotten after that count of changes; false if that is too long ago to be known.
  bool removedSince(std::uint64_t change, std::vector<ReplicaId>& removed) const;

 private:
  struct Removal {
    std::uint64_t change = 0;
    ReplicaId id;
  };

  /// The latest life that is known of a replica that tells its start.
  struct Life {
    ReplicaId id;
    TimePoint heard{};
  };

  void remove(std::map<ReplicaId, ReplicaRecord>::iterator replica, TimePoint now);
  ReportNews addReplica(const wire::ReplicaReport& report, TimePoint now);
  /// True for a report that was held up on its way: its sender was forgotten, and its address is another's,
  /// which is alive.
  bool isReplaced(const wire::ReplicaReport& report, TimePoint now) const;
  bool addressIsInUse(const wire::ReplicaReport& report, TimePoint now) const;
  void setReport(ReplicaRecord& record, const wire::ReplicaReport& report);
  void leaveAddress(const ReplicaRecord& record);
  bool hasLaterLife(const ReplicaId& id) const;
  void noteLife(const ReplicaId& id, TimePoint now);
  void removeOthersAt(const std::string& address, const ReplicaId& id, TimePoint now);
  ReplicaRecord* findMutable(const ReplicaId& id);
  void noteChange(ReplicaRecord& record);

  std::map<ReplicaId, ReplicaRecord> replicas_;
  std::map<std::string, std::set<ReplicaId>> by_address_;
  std::set<ZoneName> evacuated_;
  std::map<ReplicaId, TimePoint> forgotten_;  ///< with the time; for a while
  std::map<std::string, Life> lives_;         ///< by the name that the replica gives itself
  std::deque<Removal> removals_;              ///< oldest first
  std::uint64_t removals_known_from_ = 0;     ///< every removal after this count is listed
  std::uint64_t changes_ = 0;
  std::set<ReplicaId> touched_;
};

}  // namespace ferryrock::services
