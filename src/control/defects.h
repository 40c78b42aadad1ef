#pragma once

namespace ferryrock::control {

/// Deliberate defects that tests put back to show that the checks catch them. Never set by the product.
struct Defects {
  bool forget_changes_at_snapshot = false;  ///< snapshots hold no outcomes of change identifiers
  bool order_without_fence = false;  ///< a new leader orders before its fence is in force on the engine
  bool order_without_lease = false;  ///< a member orders though another may lead by now
  bool free_on_silence = false;      ///< an engine that can't be reached counts as a machine that is gone
};

}  // namespace ferryrock::control
