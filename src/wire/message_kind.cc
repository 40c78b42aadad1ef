#include "wire/message_kind.h"

#include <array>

namespace ferryrock::wire {

std::string_view messageKindName(std::size_t index) {
  static constexpr std::array<std::string_view, kMessageKinds> kNames = {
      "vote_request",      "vote_response",       "append_request",     "append_response", "snapshot_chunk",
      "snapshot_response", "timeout_now",         "router_status",      "demand_report",   "router_commands",
      "table_update",      "command_replies",     "member_hello",       "member_list",     "replica_reports",
      "leave_request",     "leave_reply",         "call_router_status", "service_update",  "catalog_update",
      "quota_use",         "quota_answer",        "crash_records",      "limit_request",   "limit_reply",
      "stream_origins",    "stream_origin_query", "stream_origin_reply"};
  return index < kNames.size() ? kNames[index] : "unknown";
}

}  // namespace ferryrock::wire
