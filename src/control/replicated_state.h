#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "catalog/catalog.h"
#include "control/claim_table.h"
#include "control/hosted_services.h"
#include "placement/ledger.h"
#include "wire/commands.h"

namespace ferryrock::control {

/// What applying one command touched, so that nobody has to look through the whole state.
struct AppliedChange {
  wire::CommandResult result;
  bool tree_changed = false;
  std::vector<ModelName> changed_models;  ///< names whose resolved settings changed
  std::vector<SlotId> changed_slots;
  std::vector<ModelName> changed_bases;  ///< base models of the changed slots, freed ones included
  std::vector<EngineName> changed_engines;
};

/// Settings, slot ledger, claims and hosted services of the cell: the state machine of the quorum log.
/// apply() is deterministic.
class ReplicatedState {
 public:
  explicit ReplicatedState(const ClaimLimits& claim_limits) : claims_(claim_limits) {}

  AppliedChange apply(const wire::Command& command);

  const catalog::Catalog& catalog() const { return catalog_; }
  const placement::Ledger& ledger() const { return ledger_; }
  const ClaimTable& claims() const { return claims_; }
  const HostedServices& hosted() const { return hosted_; }

  /// Without the outcomes of change identifiers only in tests that show that they are needed.
  std::string serialize(bool with_change_outcomes = true) const;
  /// Throws Error MalformedMessage.
  void restore(std::string_view bytes);

 private:
  void applyTo(AppliedChange& change, const wire::NoOperationCommand& command);
  void applyTo(AppliedChange& change, const wire::ChangeTreeCommand& command);
  void applyTo(AppliedChange& change, const wire::RegisterEngineCommand& command);
  void applyTo(AppliedChange& change, const wire::RemoveMachineCommand& command);
  void applyTo(AppliedChange& change, const wire::DecideSlotCommand& command);
  void applyTo(AppliedChange& change, const wire::DecideAdapterCommand& command);
  void applyTo(AppliedChange& change, const wire::SlotStateCommand& command);
  void applyTo(AppliedChange& change, const wire::DrainEngineCommand& command);
  void applyTo(AppliedChange& change, const wire::ClaimCommand& command);
  void applyTo(AppliedChange& change, const wire::RecordOutcomeCommand& command);
  void applyTo(AppliedChange& change, const wire::ExpireClaimsCommand& command);
  void applyTo(AppliedChange& change, const wire::ReplaceCatalogCommand& command);
  void applyTo(AppliedChange& change, const wire::ReplicaLeavingCommand& command);
  void applyTo(AppliedChange& change, const wire::QuarantineCallCommand& command);
  void applyTo(AppliedChange& change, const wire::ReleaseCallCommand& command);
  void applyTo(AppliedChange& change, const wire::EvacuateZoneCommand& command);

  void noteSlot(AppliedChange& change, SlotId slot) const;
  void noteSlotsOn(AppliedChange& change, const EngineName& engine) const;

  catalog::Catalog catalog_;
  placement::Ledger ledger_;
  ClaimTable claims_;
  HostedServices hosted_;
};

}  // namespace ferryrock::control
