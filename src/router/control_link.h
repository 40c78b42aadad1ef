#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "router/routing_table.h"
#include "wire/messages.h"

namespace ferryrock::router {

/// The router's side of the talk with the control members: who leads, whether it answers, and the status
/// messages that ask for the table. Used by one thread.
class ControlLink {
 public:
  ControlLink(NodeName node, ZoneName zone, std::vector<NodeName> members, std::uint64_t incarnation,
              Duration status_interval, TimePoint now);

  /// A table update of a leader arrived, applied or not.
  void onUpdate(const NodeName& from, const wire::TableUpdate& update, const TableChange& change,
                TimePoint now);
  /// A leader answered commands.
  void onAnswer(const NodeName& from, TimePoint now);
  /// Notes a use of the name; a new one joins the interests and is told soon. False when it was known
  /// already.
  bool addInterest(const ModelName& name, TimePoint now);
  /// The row of the name must have left the table.
  void removeInterest(const ModelName& name, TimePoint now);
  /// Interests that were last used before the given time. Walks all interests; not for every message.
  std::vector<ModelName> unusedSince(TimePoint before) const;

  /// True while a leader was heard of within the last few status intervals.
  bool available(TimePoint now) const;
  /// Instant at which the cell counts as unavailable unless it is heard of before.
  TimePoint unavailableAt() const;
  const std::optional<NodeName>& leader() const { return leader_; }
  const std::vector<NodeName>& members() const { return members_; }

  /// Messages that are due.
  std::vector<wire::SendEffect> tick(const RoutingTable& table, TimePoint now);
  TimePoint nextDeadline() const { return next_status_; }

 private:
  bool sendsAllInterests() const;
  std::uint64_t statusesBetweenWholeSets() const;
  wire::RouterStatus makeStatus(const RoutingTable& table);

  NodeName node_;
  ZoneName zone_;
  std::vector<NodeName> members_;
  std::uint64_t incarnation_;
  Duration status_interval_;
  std::optional<NodeName> leader_;
  Term leader_term_;
  TimePoint last_heard_;
  bool ever_heard_ = false;
  bool needs_full_table_ = false;
  bool leader_knows_interests_ = false;
  std::uint64_t sequence_ = 0;
  std::map<ModelName, TimePoint> interests_;  ///< with the last use
  std::set<ModelName> missing_;               ///< interests that the table may not hold yet
  std::set<ModelName> removed_;
  std::uint64_t last_whole_set_ = 0;  ///< sequence of the last status with all names
  TimePoint next_status_;
  TimePoint last_status_{};
  TimePoint last_removal_{};
};

}  // namespace ferryrock::router
