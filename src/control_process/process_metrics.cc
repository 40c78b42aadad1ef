#include "control_process/process_metrics.h"

namespace ferryrock::control_process {
void ProcessMetrics::update() {
  const auto set = [this](const char* name, const char* help, auto value) {
    registry_.gauge(name, help).set(static_cast<double>(value));
  };
  const consensus::QuorumLog& log = node_.log();
  set("ferryrock_control_leads", "1 while this member leads the cell and may order", node_.leads() ? 1 : 0);
  set("ferryrock_control_has_leader", "1 while this member knows a leader", log.leader().empty() ? 0 : 1);
  set("ferryrock_control_term", "Election term", log.term().value);
  set("ferryrock_control_committed_index", "Last committed log position", log.committed().value);
  set("ferryrock_control_last_index", "Last log position", log.lastIndex().value);
  set("ferryrock_control_tree_version", "Version of the settings tree applied",
      node_.catalog().version().value);
  set("ferryrock_control_engines", "Registered engines", node_.ledger().engines().size());
  set("ferryrock_control_slots", "Replica slots that hold memory", node_.ledger().slots().size());
  const transport::TransportCounts counts = transport_.counts();
  set("ferryrock_transport_sent_messages", "Internal messages sent", counts.sent);
  set("ferryrock_transport_sent_bytes", "Bytes of internal messages sent", counts.sent_bytes);
  set("ferryrock_transport_received_messages", "Internal messages received", counts.received);
  set("ferryrock_transport_received_bytes", "Bytes of internal messages received", counts.received_bytes);
  set("ferryrock_transport_dropped_messages", "Internal messages dropped", counts.dropped);
  set("ferryrock_transport_malformed_messages", "Internal messages that couldn't be decoded",
      counts.malformed);
}

}  // namespace ferryrock::control_process
