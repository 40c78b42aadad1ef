#include "common/error.h"
#include "fuzz_target.h"
#include "platform/order_dialect.h"
#include "platform/replica_json.h"
#include "wire/replica_incarnation.h"

/// What replicas, or others in their place, say of themselves.
namespace ferryrock::fuzz {
namespace {

constexpr const char* kName = "i-1";

void checkReport(const wire::ReplicaReport& report) {
  const bool usable = wire::replicaName(report.id) == kName &&
                      report.address.find(':') != std::string::npos && report.slow_start_ms >= 0 &&
                      report.terminates_in_ms.value_or(0) >= 0;
  if (!usable) {
    throw PromiseBroken("a report was accepted that names no replica to use");
  }
}

}  // namespace

bool runReplicaReport(std::string_view bytes) {
  platform::PlatformOrderDialect orders;
  constexpr int kStatusOk = 200;
  const bool inspected = orders.state(kStatusOk, std::string(bytes)).has_value();
  try {
    checkReport(platform::parseHeartbeat(kName, bytes));
    return true;
  } catch (const Error& fault) {
    return inspected && fault.code() != ResultCode::InvalidReport;
  }
}

std::vector<std::string> replicaReportSeeds() {
  return {
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","generation":"v1","slots":64,"state":"ready",)"
      R"("coldRemainingMs":5,"stage":"colocated","models":[{"name":"m","generation":1,"adapters":["a1"]}],)"
      R"("seqNo":4,"born":1780000000123,"available":{"resident":["m"],"onDisk":["m","n"]}})",
      R"({"service":"s","address":"10.0.0.9:80","slots":6,"state":"draining","remainingMs":2000,"seqNo":9})",
      R"({"stage":"colocated","models":[],"busy":false,"seqNo":2,"queued":1,"running":12,"born":1,)"
      R"("pending":["m/a3@1"]})"};
}

}  // namespace ferryrock::fuzz
