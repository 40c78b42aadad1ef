#include "router_process/process_metrics.h"

namespace ferryrock::router_process {

void ProcessMetrics::update() {
  const auto set = [this](const char* name, const char* help, auto value) {
    registry_.gauge(name, help).set(static_cast<double>(value));
  };
  const router::RouterCounts counts = node_.counts();
  set("ferryrock_router_ready", "1 while a routing table is in force", node_.ready() ? 1 : 0);
  set("ferryrock_router_tree_version", "Version of the settings tree in force", node_.treeVersion().value);
  set("ferryrock_router_models", "Names in the routing table", node_.knownModels().size());
  set("ferryrock_router_accepted_requests", "Requests accepted", counts.accepted);
  set("ferryrock_router_answered_requests", "Requests answered whole", counts.answered);
  set("ferryrock_router_not_run_requests", "Requests refused as not run", counts.refused_not_run);
  set("ferryrock_router_unknown_requests", "Requests ended with an unknown outcome", counts.failed_unknown);
  set("ferryrock_router_retries", "Further attempts", counts.retries);
  set("ferryrock_router_resumed_streams", "Answers read on after a cut", counts.resumed_streams);
  set("ferryrock_router_moved_streams", "Answers continued on another replica", counts.moved_streams);
  set("ferryrock_router_moved_caches", "Caches taken along with moved answers", engines_.caches().moved());
  set("ferryrock_router_unmoved_caches", "Caches that couldn't be taken along", engines_.caches().failed());
  set("ferryrock_router_late_chunks", "Chunks dropped as late or doubled", counts.late_chunks_dropped);
  set("ferryrock_router_foreign_events", "Engine events of other attempts dropped", engines_.foreignEvents());
  set("ferryrock_router_waiting_requests", "Requests waiting for a replica", counts.waiting);
  set("ferryrock_router_running_requests", "Requests running on a replica", counts.running);
  const transport::TransportCounts messages = transport_.counts();
  set("ferryrock_transport_sent_messages", "Internal messages sent", messages.sent);
  set("ferryrock_transport_sent_bytes", "Bytes of internal messages sent", messages.sent_bytes);
  set("ferryrock_transport_received_messages", "Internal messages received", messages.received);
  set("ferryrock_transport_received_bytes", "Bytes of internal messages received", messages.received_bytes);
  set("ferryrock_transport_dropped_messages", "Internal messages dropped", messages.dropped);
  set("ferryrock_transport_malformed_messages", "Internal messages that couldn't be decoded",
      messages.malformed);
}

}  // namespace ferryrock::router_process
