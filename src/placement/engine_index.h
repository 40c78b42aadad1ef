#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "placement/ledger.h"
#include "placement/planner.h"

namespace ferryrock::placement {

/// Memory that a replica needs.
struct ReplicaShape {
  std::uint32_t accelerators = 1;
  std::uint64_t bytes_per_accelerator = 0;
};

/// The planner's view of an engine: the ledger's record, the engine's last report, and memory reserved for
/// proposals that are not committed yet.
struct EngineView {
  EngineRecord record;
  std::vector<std::uint64_t> free_bytes;      ///< by accelerator; held and reserved bytes are subtracted
  std::vector<std::uint64_t> reserved_bytes;  ///< by accelerator
  bool reachable = true;
  bool leaving = false;
  std::optional<TimePoint> leaves_at;
  std::set<ModelName> in_memory;
  std::set<ModelName> on_disk;
  /// Returns true if the engine accepts new replicas.
  bool usable() const { return reachable && !leaving && !record.draining; }
};

/// Index of engines by free memory in each zone and by the checkpoints in their host memory and on their
/// disks. Costs: refreshing an engine is O(accelerators * log engines); a report is O(checkpoints that
/// changed * log n); finding candidates is O(zones * log engines + checkpoint holders).
class EngineIndex {
 public:
  explicit EngineIndex(const Ledger& ledger) : ledger_(ledger) {}

  /// Updates the engine from the ledger; removes it if the ledger does not contain it.
  void refresh(const EngineName& name);
  /// Updates checkpoints and reachability; reports of other incarnations than the registered one are ignored.
  void onReport(const EngineReport& report);
  void setUnreachable(const EngineName& name);
  /// leaves_at is nullopt if the time of departure is unknown.
  void setLeaving(const MachineName& machine, bool leaving, std::optional<TimePoint> leaves_at);

  /// Reserves memory for a proposal, or releases the reservation.
  void reserveMemory(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                     std::uint64_t bytes);
  void releaseMemory(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                     std::uint64_t bytes);

  const EngineView* find(const EngineName& name) const;
  CheckpointTier tierOf(const EngineName& engine, const ModelName& model) const;
  /// Chooses accelerators by best fit: those with the least sufficient free memory. Empty if the replica does
  /// not fit.
  static std::vector<std::uint32_t> chooseAccelerators(const std::vector<std::uint64_t>& free_bytes,
                                                       const ReplicaShape& shape);
  /// Usable engines with enough free memory: holders of the checkpoint, and the fullest and emptiest engines
  /// of each allowed zone.
  std::vector<EngineName> candidates(const ModelName& model, const ReplicaShape& shape,
                                     const std::vector<std::string>& zones) const;
  /// A usable engine to prefetch a checkpoint to: for host memory, one that has it on disk; for disk, the one
  /// whose emptiest accelerator has the most free memory.
  std::optional<EngineName> prefetchTarget(const ModelName& model, CheckpointTier to) const;
  /// Memory of the largest accelerator of any engine registered since the index was created.
  std::uint64_t largestAcceleratorBytes() const { return largest_accelerator_bytes_; }
  bool hasCheckpoint(const ModelName& model, CheckpointTier tier) const;
  std::vector<EngineName> enginesOf(const MachineName& machine) const;

 private:
  using FreeOrder = std::set<std::pair<std::uint64_t, EngineName>>;
  /// Element n orders engines by the free bytes of the accelerator with the (n + 1)th most free memory.
  using ZoneOrders = std::vector<FreeOrder>;

  void addToOrders(const EngineView& view);
  void removeFromOrders(const EngineView& view);
  void updateReservation(const EngineName& name, const std::vector<std::uint32_t>& accelerators,
                         std::uint64_t bytes, bool add);
  void computeFree(EngineView& view) const;
  static void replaceHolders(std::map<ModelName, std::set<EngineName>>& holders, const EngineName& engine,
                             std::set<ModelName>& before, const std::vector<ModelName>& after);
  void dropCheckpoints(EngineView& view);

  const Ledger& ledger_;
  std::map<EngineName, EngineView> engines_;
  std::map<ZoneName, ZoneOrders> zones_;
  std::map<ModelName, std::set<EngineName>> memory_holders_;
  std::map<ModelName, std::set<EngineName>> disk_holders_;
  std::map<MachineName, std::set<EngineName>> machines_;
  /// Machines announced as leaving, including those whose engine has not registered yet.
  std::map<MachineName, std::optional<TimePoint>> leaving_;
  std::uint64_t largest_accelerator_bytes_ = 0;
};

}  // namespace ferryrock::placement
