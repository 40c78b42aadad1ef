#include "quarantine/suspect.h"

#include <algorithm>

#include "quarantine/call_fingerprint.h"

namespace ferryrock::quarantine {

std::string_view toText(wire::SuspectKind kind) {
  switch (kind) {
    case wire::SuspectKind::PromptPart:
      return "prompt part";
    case wire::SuspectKind::Adapter:
      return "adapter";
    case wire::SuspectKind::Call:
      break;
  }
  return "call";
}

std::string toText(const Suspect& suspect) {
  const std::string name = suspect.name.empty() ? toText(suspect.fingerprint) : suspect.name;
  return std::string(toText(suspect.kind)) + " " + name;
}

/// Calls have a method, so that no call has the same identity.
Suspect traitOf(wire::SuspectKind kind, std::string_view name) {
  return {fingerprintOf({"", "", toText(kind), "", name}), kind, std::string(name)};
}

std::vector<Suspect> traitsOf(const SharedProperties& properties) {
  std::vector<Suspect> traits;
  for (const std::string& part : properties.prompt_parts) {
    const bool known = std::any_of(traits.begin(), traits.end(),
                                   [&part](const Suspect& trait) { return trait.name == part; });
    if (!known) {
      traits.push_back(traitOf(wire::SuspectKind::PromptPart, part));
    }
  }
  if (!properties.adapter.empty()) {
    traits.push_back(traitOf(wire::SuspectKind::Adapter,
                             std::string(properties.model) + "/" + std::string(properties.adapter)));
  }
  return traits;
}

}  // namespace ferryrock::quarantine
