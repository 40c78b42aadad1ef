#pragma once

#include <optional>

namespace ferryrock::calls {

/// Evidence that a call hasn't run and never will. Only a SendingRecord makes one, so a refusal that promises
/// this can't be built without it.
class NotRunProof {
 private:
  friend class SendingRecord;
  NotRunProof() = default;
};

/// What is known of the sendings of one call. Each sending is open until it is proven not to have run, or
/// ends without that proof; the latter can't be undone.
class SendingRecord {
 public:
  void onSent() { open_ = true; }
  /// The open sending is proven not to have run.
  void onProvenNotRun() { open_ = false; }
  /// The open sending ended, and may have run or may still run.
  void onPossibleRun() {
    open_ = false;
    may_have_run_ = true;
  }
  /// True if a sending is open or may have run.
  bool mayHaveRun() const { return open_ || may_have_run_; }
  /// nullopt if a sending is open or may have run.
  std::optional<NotRunProof> proof() const {
    return mayHaveRun() ? std::nullopt : std::optional(NotRunProof());
  }

 private:
  bool open_ = false;
  bool may_have_run_ = false;
};

}  // namespace ferryrock::calls
