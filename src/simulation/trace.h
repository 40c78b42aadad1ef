#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

#include "common/time.h"

namespace ferryrock::simulation {

/// What happened in a run, line by line. The digest stands for the whole trace: two runs of one seed have the
/// same.
class Trace {
 public:
  /// Lines also go to the stream, if there is one.
  explicit Trace(std::ostream* output = nullptr) : output_(output) {}

  void write(TimePoint now, std::string_view who, std::string_view what);
  std::uint64_t digest() const { return digest_; }
  std::uint64_t lines() const { return lines_; }

 private:
  std::ostream* output_;
  std::uint64_t digest_ = 0;
  std::uint64_t lines_ = 0;
};

}  // namespace ferryrock::simulation
