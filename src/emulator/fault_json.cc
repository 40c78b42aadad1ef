#include "emulator/fault_json.h"

#include "common/error.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

constexpr std::uint64_t kMaxDelayMs = 3'600'000;

double positiveFactor(const JsonFields& fields) {
  const double factor = fields.real("factor", 1.0);
  if (!(factor > 0)) {
    throw Error(ResultCode::InvalidField, "'factor' must be above 0", "factor");
  }
  return factor;
}

Duration delayOf(const JsonFields& fields) {
  const std::uint64_t milliseconds = fields.number("ms");
  if (milliseconds > kMaxDelayMs) {
    throw Error(ResultCode::InvalidField, "'ms' must be at most " + std::to_string(kMaxDelayMs), "ms");
  }
  return std::chrono::milliseconds(milliseconds);
}

void setCutStream(EngineFaults& faults, const JsonFields& fields) {
  faults.cut_after_chunks = fields.number("after_chunks", 1);
  faults.cuts_left.reset();
  if (fields.has("times")) {
    faults.cuts_left = fields.number("times");
  }
}

}  // namespace

HostFaults applyFaultRequest(HostFaults faults, std::string_view body) {
  const JsonFields fields(body);
  const std::string kind = fields.text("kind");
  if (kind == "none") {
    return {};
  }
  if (kind == "slow") {
    faults.model.slow_factor = positiveFactor(fields);
  } else if (kind == "stall") {
    faults.model.stall = true;
  } else if (kind == "crash_in_load") {
    faults.model.crash_in_load = true;
  } else if (kind == "crash") {
    faults.crash_now = true;
  } else if (kind == "cut_stream") {
    setCutStream(faults.model, fields);
  } else if (kind == "late_answers") {
    faults.model.answer_delay = delayOf(fields);
  } else if (kind == "crossed_answers") {
    faults.model.crossed_answers = true;
  } else if (kind == "refuse") {
    faults.model.refuse = true;
  } else if (kind == "double_chunks") {
    faults.model.double_chunks = true;
  } else if (kind == "fail_load") {
    faults.model.fail_load = true;
  } else if (kind == "cut_control") {
    faults.cut_control = true;
    faults.cut_control_process = fields.boolean("process", false);
  } else {
    throw Error(ResultCode::InvalidField,
                "'kind' must be one of none, slow, stall, crash_in_load, crash, cut_stream, late_answers, "
                "crossed_answers, refuse, double_chunks, fail_load, cut_control",
                "kind");
  }
  return faults;
}

}  // namespace ferryrock::emulator
