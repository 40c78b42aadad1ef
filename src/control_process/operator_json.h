#pragma once

#include <string>

#include "catalog/catalog.h"
#include "common/error.h"
#include "control/control_node.h"

/// JSON bodies of the operators' interface.
namespace ferryrock::control_process {

/// {"code", "name", "message", "place", "remedy"}; no place when it is empty.
std::string errorJson(ResultCode code, const std::string& message, const std::string& place = {});
/// The same with the leader's address, for NotLeader.
std::string notLeaderJson(ResultCode code, const std::string& message, const std::string& leader_url);
/// Answer to a change of the tree: the version, or what is wrong with the change.
std::string changeResultJson(const wire::CommandResult& result);
std::string treeJson(const catalog::SettingsTree& tree, TreeVersion version);
/// Throws UnknownNode.
std::string resolvedJson(const catalog::SettingsTree& tree, TreeVersion version, const std::string& node);
std::string historyJson(const catalog::Catalog& catalog);
std::string explanationJson(const placement::Explanation& explanation);
std::string membersJson(const consensus::QuorumLog& log, bool confirmed);
/// State of the cell as this member knows it; confirmed by a quorum or not.
std::string statusJson(const control::ControlNode& node, const NodeName& self, bool confirmed, TimePoint now);

/// Throws MalformedBody or InvalidField.
wire::ChangeTreeCommand parseChange(const std::string& body);
wire::DrainEngineCommand parseDrain(const std::string& body);
control::MembershipChange parseMembershipChange(const std::string& body);

}  // namespace ferryrock::control_process
