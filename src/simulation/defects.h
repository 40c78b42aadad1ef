#pragma once

#include <functional>
#include <string>
#include <vector>

#include "consensus/defects.h"
#include "control/defects.h"
#include "router/defects.h"

namespace ferryrock::simulation {

/// Deliberate defects of a run's processes, to show that the sweep finds them.
struct Defects {
  consensus::Defects log;
  control::Defects control;
  router::Defects router;
  bool engines_ignore_fences = false;  ///< engines carry out every order, however old its leader
};

/// A defect by the name that the command line takes.
struct NamedDefect {
  std::string name;
  std::function<void(Defects&)> turn_on;
};

/// All defects that a run can be given.
const std::vector<NamedDefect>& namedDefects();

/// Throws Error InvalidArgument with the known names.
Defects defectsByName(const std::string& name);

}  // namespace ferryrock::simulation
