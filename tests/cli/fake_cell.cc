#include "cli/fake_cell.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "catalog/tree_json.h"
#include "common/error.h"

namespace ferryrock::cli {
namespace {

using nlohmann::json;

constexpr std::uint64_t kAcceleratorBytes = 80'000'000'000;

http::ClientResponse jsonResponse(int status, const json& body) {
  return {status, {}, body.dump()};
}

http::ClientResponse errorResponse(ResultCode code, const json& more = json::object()) {
  const ResultCodeInfo& info = resultCodeInfo(code);
  json body = {{"code", static_cast<int>(code)},
               {"name", std::string(info.name)},
               {"message", std::string(info.meaning)},
               {"remedy", std::string(info.remedy)}};
  body.update(more);
  return jsonResponse(info.http_status, body);
}

std::string pathOf(const std::string& url) {
  const std::size_t begin = url.find('/', std::string("http://").size());
  return url.substr(begin);
}

}  // namespace

http::ClientResponse FakeCell::answer(const http::ClientRequest& request) {
  requests.push_back(request);
  CallFault fault = CallFault::None;
  if (!faults.empty()) {
    fault = faults.front();
    faults.pop_front();
  } else if (request.url.starts_with(kFollowerUrl)) {
    fault = CallFault::NotLeader;
  }
  switch (fault) {
    case CallFault::None:
      return effect(request);
    case CallFault::Unreachable:
      throw Error(ResultCode::PeerUnreachable, "no answer from " + request.url);
    case CallFault::AnswerLost:
      effect(request);
      throw Error(ResultCode::PeerUnreachable, "the connection was closed");
    case CallFault::NotLeader:
      return errorResponse(ResultCode::NotLeader, {{"leader_url", kLeaderUrl}});
    case CallFault::NoQuorum:
      return errorResponse(ResultCode::NoQuorum);
    case CallFault::NoJson:
      return {200, {}, "<html>"};
  }
  throw Error(ResultCode::Internal, "unknown fault");
}

http::ClientResponse FakeCell::effect(const http::ClientRequest& request) {
  if (!token.empty() && http::findHeader(request.headers, "Authorization") != "Bearer " + token) {
    return errorResponse(ResultCode::Unauthenticated);
  }
  const std::string path = pathOf(request.url);
  const std::string name = path.substr(0, path.find('?'));
  const std::string query = path.size() > name.size() ? path.substr(name.size() + 1) : "";
  if (name == "/api/tree") {
    return tree(query);
  }
  if (name == "/api/changes") {
    return change(std::string(request.body.view()));
  }
  if (name == "/api/members") {
    return request.method == "POST" ? changeMembers(std::string(request.body.view())) : showMembers();
  }
  const auto fixed = fixed_answers.find(path);
  return fixed == fixed_answers.end() ? errorResponse(ResultCode::UnknownPath)
                                      : http::ClientResponse{200, {}, fixed->second};
}

http::ClientResponse FakeCell::tree(const std::string& query) const {
  TreeVersion version = catalog.version();
  if (query.starts_with("version=")) {
    version = TreeVersion(std::stoull(query.substr(query.find('=') + 1)));
  }
  try {
    json nodes = json::array();
    const catalog::SettingsTree kept = catalog.treeAt(version);
    for (const auto& [name, node] : kept.nodes()) {
      nodes.push_back(catalog::nodeToJson(node));
    }
    return jsonResponse(200, {{"version", version.value}, {"nodes", nodes}});
  } catch (const Error& error) {
    return errorResponse(error.code());
  }
}

http::ClientResponse FakeCell::change(const std::string& body) {
  const wire::CommandResult result =
      catalog.apply(catalog::changeFromJson(json::parse(body)), kAcceleratorBytes);
  return jsonResponse(resultCodeInfo(result.code).http_status, catalog::changeResultToJson(result));
}

http::ClientResponse FakeCell::showMembers() const {
  json shown = json::array();
  for (const Member& member : members) {
    shown.push_back(
        {{"id", member.id}, {"node", member.node}, {"internal", member.address}, {"voter", member.voter}});
  }
  return jsonResponse(200, {{"members", shown}});
}

http::ClientResponse FakeCell::changeMembers(const std::string& body) {
  const json change = json::parse(body);
  const auto action = change.at("action").get<std::string>();
  const auto id = change.at("id").get<std::uint64_t>();
  const auto known =
      std::find_if(members.begin(), members.end(), [id](const Member& member) { return member.id == id; });
  if (action == "add") {
    const auto node = change.at("node").get<std::string>();
    const bool in_use = std::any_of(members.begin(), members.end(), [id, &node](const Member& member) {
      return member.id == id || member.node == node;
    });
    if (in_use) {
      return errorResponse(ResultCode::MemberNameInUse);
    }
    members.push_back({id, node, change.at("internal").get<std::string>(), false});
  } else if (known == members.end() || (action == "promote" && known->voter)) {
    return errorResponse(ResultCode::UnknownMember);
  } else if (action == "remove") {
    members.erase(known);
  } else if (promotions_refused > 0) {
    --promotions_refused;
    return errorResponse(ResultCode::MemberNotCaughtUp);
  } else {
    known->voter = true;
  }
  member_changes.push_back(action + " " + std::to_string(id));
  return jsonResponse(200, json::object());
}

RunOutcome CommandRunner::run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  Environment environment{out,
                          err,
                          [this](const http::ClientRequest& request) { return cell_.answer(request); },
                          [this](const std::string& name) -> std::optional<std::string> {
                            const auto found = variables.find(name);
                            return found == variables.end() ? std::nullopt : std::optional(found->second);
                          },
                          [this](Duration pause) { slept += pause; },
                          [this] { return std::to_string(++unique_texts_); }};
  const ProgramDescription program{"1.2.3", {{"router", "Run a router"}}};
  const ExitCode code = runCommandLine(arguments, program, environment);
  return {code, out.str(), err.str()};
}

}  // namespace ferryrock::cli
