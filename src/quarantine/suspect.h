#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/service_messages.h"

namespace ferryrock::quarantine {

/// What may be the cause of a replica's crash: a call, or a trait that different calls share.
struct Suspect {
  wire::CallFingerprint fingerprint;
  wire::SuspectKind kind = wire::SuspectKind::Call;
  std::string name;  ///< see wire::CrashRecord
};

/// A trait identifies the same cause in calls that are never alike. Its fingerprint is never that of a call.
/// Throws Error Internal if libcrypto can't compute SHA-256.
Suspect traitOf(wire::SuspectKind kind, std::string_view name);

/// The properties of a call that other calls may share.
struct SharedProperties {
  const std::vector<std::string>& prompt_parts;  ///< IDs
  std::string_view model;
  std::string_view adapter;  ///< empty: the base model
};

/// The traits of a call, each once.
std::vector<Suspect> traitsOf(const SharedProperties& properties);

/// "prompt part 5c1e07a2", "adapter m1/a7" or "call 0123..", for logs and callers.
std::string toText(const Suspect& suspect);
std::string_view toText(wire::SuspectKind kind);

}  // namespace ferryrock::quarantine
