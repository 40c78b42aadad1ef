#include "simulation/trace.h"

#include "common/hashing.h"

namespace ferryrock::simulation {

void Trace::write(TimePoint now, std::string_view who, std::string_view what) {
  std::string line = std::to_string(now.time_since_epoch().count());
  line += ' ';
  line += who;
  line += ' ';
  line += what;
  digest_ = stableHash(line, digest_);
  ++lines_;
  if (output_ != nullptr) {
    *output_ << line << '\n';
  }
}

}  // namespace ferryrock::simulation
