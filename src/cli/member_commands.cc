#include <algorithm>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "cli/command.h"
#include "cli/operator_client.h"
#include "cli/output.h"
#include "common/quantity.h"

/// Subcommand that shows and changes the control cell's members. The cell changes one member at a time; a
/// procedure of several changes looks at the members before each one, so that it can be run again after any
/// interruption, and a change whose answer was lost isn't taken for a fault.
namespace ferryrock::cli {
namespace {

using nlohmann::ordered_json;

constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

/// A member that the command line describes.
struct WantedMember {
  std::uint64_t id = 0;
  std::string node;
  std::string address;
  std::string http;
};

void declareMembers(cxxopts::Options& options) {
  options.add_options()("id", "Identity of the new member, never used before in this cell",
                        cxxopts::value<std::string>(),
                        "ID")("node", "Node name of the replacement", cxxopts::value<std::string>(), "NODE")(
      "address", "host:port that other members reach it by", cxxopts::value<std::string>(), "ADDRESS")(
      "http", "URL that operators reach it by", cxxopts::value<std::string>(), "URL")(
      "learner", "Don't make the new member a voter")(
      "wait-timeout", "Longest wait until the new member has caught up",
      cxxopts::value<std::string>()->default_value("10m"), "TIME");
}

std::string requiredOption(const CommandInput& input, const std::string& name) {
  if (input.options.count(name) == 0) {
    throw Error(ResultCode::InvalidArgument, "--" + name + " is missing");
  }
  return input.options[name].as<std::string>();
}

/// Carries out membership changes one after the other.
class MembershipProcedure {
 public:
  explicit MembershipProcedure(const CommandInput& input)
      : input_(input),
        client_(input),
        time_limit_(parseDuration(input.options["wait-timeout"].as<std::string>())) {}

  ordered_json members() { return client_.get("/api/members"); }

  void addLearner(const WantedMember& wanted) {
    const nlohmann::json change{{"action", "add"},
                                {"id", wanted.id},
                                {"node", wanted.node},
                                {"internal", wanted.address},
                                {"http", wanted.http}};
    carryOut(change, [this, &wanted] { return isMember(wanted); });
    say("Member " + std::to_string(wanted.id) + " (" + wanted.node + ") is a learner.");
  }

  void promote(std::uint64_t id) {
    carryOut({{"action", "promote"}, {"id", id}}, [this, id] { return isVoter(id); });
    say("Member " + std::to_string(id) + " is a voter.");
  }

  void remove(std::uint64_t id) {
    carryOut({{"action", "remove"}, {"id", id}}, [this, id] { return !find(id).has_value(); });
    say("Member " + std::to_string(id) + " is removed.");
  }

  std::optional<ordered_json> find(std::uint64_t id) {
    const ordered_json answer = client_.get("/api/members?confirmed=true");
    for (const ordered_json& member : answer.at("members")) {
      if (member.value("id", std::uint64_t{0}) == id) {
        return member;
      }
    }
    return std::nullopt;
  }

 private:
  static bool mayPass(ResultCode code) {
    return code == ResultCode::MembershipChangeInProgress || code == ResultCode::MemberNotCaughtUp ||
           code == ResultCode::NotLeader || code == ResultCode::NoQuorum ||
           code == ResultCode::PeerUnreachable;
  }

  bool isMember(const WantedMember& wanted) {
    const auto member = find(wanted.id);
    return member && member->value("node", "") == wanted.node &&
           member->value("internal", "") == wanted.address;
  }

  bool isVoter(std::uint64_t id) {
    const auto member = find(id);
    return member && member->value("voter", false);
  }

  /// Sends the change until it is done; faults that pass by themselves are waited out.
  template <class Done>
  void carryOut(const nlohmann::json& change, const Done& done) {
    for (Duration waited{};; waited += kRetryInterval) {
      if (done()) {
        return;
      }
      try {
        client_.post("/api/members", change);
        return;
      } catch (const Error& fault) {
        const bool over = waited >= time_limit_;
        if ((over || !mayPass(fault.code())) && !done()) {
          throw;
        }
      }
      input_.environment.sleep(kRetryInterval);
    }
  }

  void say(const std::string& sentence) { input_.environment.out << sentence << "\n"; }

  const CommandInput& input_;
  OperatorClient client_;
  Duration time_limit_;
};

WantedMember wantedMember(const CommandInput& input, const std::string& node) {
  return {parseWholeNumber(requiredOption(input, "id"), "the member's id"), node,
          requiredOption(input, "address"), requiredOption(input, "http")};
}

void addMember(const CommandInput& input, const std::string& node) {
  const WantedMember wanted = wantedMember(input, node);
  MembershipProcedure procedure(input);
  procedure.addLearner(wanted);
  if (input.options.count("learner") == 0) {
    procedure.promote(wanted.id);
  }
}

/// A replacement under the old node name takes the place of a lost disk: the old identity leaves first, since
/// it can't help the cell any more. Under another node name the new member catches up before the old one
/// leaves.
void replaceMember(const CommandInput& input, std::uint64_t old_id) {
  const WantedMember wanted = wantedMember(input, requiredOption(input, "node"));
  if (wanted.id == old_id) {
    throw Error(ResultCode::InvalidArgument,
                "--id must be a new identity: a lost disk's is never used again");
  }
  MembershipProcedure procedure(input);
  const auto old_member = procedure.find(old_id);
  const bool same_node = old_member && old_member->value("node", "") == wanted.node;
  if (same_node) {
    procedure.remove(old_id);
  }
  procedure.addLearner(wanted);
  procedure.promote(wanted.id);
  if (!same_node) {
    procedure.remove(old_id);
  }
}

void listMembers(const CommandInput& input) {
  const ordered_json answer = MembershipProcedure(input).members();
  if (outputFormat(input) == OutputFormat::Json) {
    input.environment.out << answer.dump(2) << "\n";
  } else {
    printSections(answer, input.environment.out);
  }
}

ExitCode runMembers(const CommandInput& input) {
  const std::vector<std::string> words = positionals(input);
  const std::string action = words.empty() ? "list" : words.front();
  const bool known =
      action == "list" || action == "add" || action == "replace" || action == "promote" || action == "remove";
  if (!known) {
    throw Error(ResultCode::InvalidArgument,
                "'members' takes list, add, replace, promote or remove, not '" + action + "'");
  }
  if (action == "list") {
    listMembers(input);
    return ExitCode::Success;
  }
  if (words.size() != 2) {
    throw Error(ResultCode::InvalidArgument, "'members " + action + "' needs one member");
  }
  if (action == "add") {
    addMember(input, words[1]);
    return ExitCode::Success;
  }
  const std::uint64_t id = parseWholeNumber(words[1], "the member's id");
  if (action == "replace") {
    replaceMember(input, id);
  } else if (action == "promote") {
    MembershipProcedure(input).promote(id);
  } else {
    MembershipProcedure(input).remove(id);
  }
  return ExitCode::Success;
}

constexpr CommandDefinition kCommands[] = {
    {"members", CommandKind::Operator, "[list|add NODE|replace ID|promote ID|remove ID]",
     "Show and change the control cell's members",
     "ferryrock members replace 3 --id 4 --node control-3 --address 10.0.0.3:7300 --http "
     "http://10.0.0.3:7400",
     0, 2, declareMembers, runMembers},
};

}  // namespace

std::span<const CommandDefinition> memberCommands() {
  return kCommands;
}

}  // namespace ferryrock::cli
