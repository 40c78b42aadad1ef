#include "simulation/simulated_operators.h"

#include <algorithm>
#include <utility>

#include "simulation/oracle.h"
#include "simulation/process_directory.h"

namespace ferryrock::simulation {
namespace {

constexpr const char* kOperator = "operator";
constexpr Duration kAnswerTimeLimit = std::chrono::milliseconds(1500);
constexpr std::uint32_t kMaximumSends = 60;
/// A read that isn't confirmed, as the member doesn't lead, is tried at another member.
constexpr std::uint32_t kMaximumReads = 60;
/// Each change sets a limit that no earlier one has set.
constexpr std::uint64_t kFirstQueueLimit = 1000;
constexpr Duration kMeanReadInterval = std::chrono::milliseconds(400);
constexpr Duration kReadInterval = std::chrono::milliseconds(100);
constexpr Duration kReplaceInterval = std::chrono::milliseconds(500);

const wire::Member* findMember(const wire::Membership& membership, MemberId id) {
  const auto found = std::find_if(membership.members.begin(), membership.members.end(),
                                  [id](const wire::Member& member) { return member.id == id; });
  return found == membership.members.end() ? nullptr : &*found;
}

void setSetting(wire::TreeNode& node, const std::string& key, const std::string& value) {
  const auto place = std::lower_bound(
      node.settings.begin(), node.settings.end(), key,
      [](const wire::Setting& setting, const std::string& wanted) { return setting.key < wanted; });
  if (place != node.settings.end() && place->key == key) {
    place->value = value;
  } else {
    node.settings.insert(place, {key, value});
  }
}

}  // namespace

SimulatedOperators::SimulatedOperators(SimulationContext& context, Random random)
    : context_(context), random_(std::move(random)) {}

void SimulatedOperators::write(const std::string& what) {
  context_.trace.write(context_.events.now(), kOperator, what);
}

void SimulatedOperators::reply(const SimulatedControl& control, Callback deliver) {
  context_.network.sendDatagram(control.name(), kOperator, std::move(deliver));
}

SimulatedControl* SimulatedOperators::pickControl() {
  std::vector<SimulatedControl*> running;
  for (const auto& [name, control] : context_.directory.controls()) {
    if (control->running()) {
      running.push_back(control);
    }
  }
  return running.empty() ? nullptr : running[random_.below(running.size())];
}

void SimulatedOperators::applyFirst(const std::vector<wire::TreeNode>& nodes) {
  auto submission = std::make_shared<Submission>();
  submission->command.change_id = ChangeId{"change-first"};
  submission->command.upserts = nodes;
  submission->command.author = "operator";
  submit(submission);
}

void SimulatedOperators::run(TimePoint until, Duration mean_interval) {
  until_ = until;
  readSometimes();
  scheduleNext(mean_interval);
}

void SimulatedOperators::scheduleNext(Duration mean_interval) {
  constexpr double kRaceChance = 0.2;
  constexpr double kLostAnswerChance = 0.2;
  constexpr double kResendChance = 0.5;
  const double wait = random_.exponential(static_cast<double>(mean_interval.count()));
  context_.events.after(Duration(static_cast<Duration::rep>(wait)), [this, mean_interval] {
    if (context_.events.now() >= until_) {
      return;
    }
    if (random_.chance(kResendChance)) {
      resendEarlier();
    }
    change(random_.chance(kRaceChance), random_.chance(kLostAnswerChance));
    scheduleNext(mean_interval);
  });
}

wire::ChangeTreeCommand SimulatedOperators::makeChange(const catalog::Catalog& catalog) {
  wire::ChangeTreeCommand change;
  change.change_id = ChangeId{"change-" + std::to_string(next_change_++)};
  change.base_version = catalog.version();
  change.author = "operator";
  change.time = toMilliseconds(context_.events.now().time_since_epoch());
  const auto& nodes = catalog.tree().nodes();
  if (!nodes.empty()) {
    auto node = std::next(nodes.begin(), static_cast<std::ptrdiff_t>(random_.below(nodes.size())))->second;
    setSetting(node, "max_queue", std::to_string(kFirstQueueLimit + next_change_));
    change.upserts.push_back(std::move(node));
  }
  return change;
}

void SimulatedOperators::change(bool race, bool lose_first_answer) {
  tryChange(race, lose_first_answer, kMaximumReads);
}

void SimulatedOperators::readSometimes() {
  const double wait = random_.exponential(static_cast<double>(kMeanReadInterval.count()));
  context_.events.after(Duration(static_cast<Duration::rep>(wait)), [this] {
    if (context_.events.now() >= until_) {
      return;
    }
    readOnce();
    readSometimes();
  });
}

void SimulatedOperators::readOnce() {
  SimulatedControl* control = pickControl();
  if (control == nullptr) {
    return;
  }
  control->perform([this, control] {
    const TreeVersion committed = context_.oracle.committed().treeVersion();
    control->confirmRead(
        [this, control, committed](bool confirmed) { checkRead(*control, confirmed, committed); });
  });
}

void SimulatedOperators::checkRead(const SimulatedControl& control, bool confirmed, TreeVersion committed) {
  if (confirmed && control.node() != nullptr && control.node()->catalog().version() < committed) {
    context_.oracle.fail("control " + control.name() + " confirmed a read of an old tree version");
  }
}

void SimulatedOperators::resendEarlier() {
  if (sent_changes_.empty()) {
    return;
  }
  auto again = std::make_shared<Submission>();
  again->command = sent_changes_[random_.below(sent_changes_.size())];
  submit(again);
}

void SimulatedOperators::tryChange(bool race, bool lose_first_answer, std::uint32_t reads_left) {
  SimulatedControl* control = pickControl();
  if (control == nullptr || reads_left == 0) {
    return;
  }
  write("reads at " + control->name());
  control->perform([this, control, race, lose_first_answer, reads_left] {
    const TreeVersion committed = context_.oracle.committed().treeVersion();
    control->confirmRead([this, control, race, lose_first_answer, reads_left, committed](bool confirmed) {
      checkRead(*control, confirmed, committed);
      if (!confirmed || control->node() == nullptr) {
        context_.events.after(kReadInterval, [this, race, lose_first_answer, reads_left] {
          tryChange(race, lose_first_answer, reads_left - 1);
        });
        return;
      }
      auto first = std::make_shared<Submission>();
      first->command = makeChange(control->node()->catalog());
      first->lose_first_answer = lose_first_answer;
      if (race) {
        ++context_.faults[static_cast<std::size_t>(FaultKind::RaceOfOperators)];
        auto second = std::make_shared<Submission>();
        second->command = makeChange(control->node()->catalog());
        submit(second);
      }
      submit(first);
    });
  });
}

void SimulatedOperators::submit(const std::shared_ptr<Submission>& submission) {
  if (submission->answered || submission->sent >= kMaximumSends) {
    return;
  }
  ++submission->sent;
  if (SimulatedControl* control = pickControl()) {
    const wire::Command command = submission->command;
    write("sends " + submission->command.change_id.value + " to " + control->name());
    context_.network.sendDatagram(kOperator, control->name(), [this, control, command, submission] {
      control->perform([this, control, command, submission] {
        control->propose(command, [this, control, submission](const wire::CommandResult& result) {
          reply(*control, [this, submission, result] { answer(submission, result); });
        });
      });
    });
  }
  submitLater(submission, kAnswerTimeLimit);
}

void SimulatedOperators::submitLater(const std::shared_ptr<Submission>& submission, Duration wait) {
  const std::uint32_t sent = submission->sent;
  context_.events.after(wait, [this, submission, sent] {
    if (submission->sent == sent) {
      submit(submission);
    }
  });
}

void SimulatedOperators::answer(const std::shared_ptr<Submission>& submission,
                                const wire::CommandResult& result) {
  if (std::exchange(submission->lose_first_answer, false)) {
    ++context_.faults[static_cast<std::size_t>(FaultKind::LostAnswer)];
    return;
  }
  write(submission->command.change_id.value + " came to " + std::to_string(static_cast<int>(result.code)));
  context_.oracle.onChangeAnswered(submission->command.change_id, result);
  if (submission->answered) {
    return;
  }
  if (result.code == ResultCode::NotLeader || result.code == ResultCode::NoQuorum) {
    submitLater(submission, kReadInterval);
    return;
  }
  submission->answered = true;
  sent_changes_.push_back(submission->command);
  accepted_ += result.code == ResultCode::Ok ? 1 : 0;
  conflicts_ += result.code == ResultCode::VersionConflict ? 1 : 0;
}

void SimulatedOperators::drain(const EngineName& engine, bool drain) {
  for (const auto& [name, control] : context_.directory.controls()) {
    if (control->running() && control->node()->leads()) {
      control->perform([control = control, engine, drain] {
        control->propose(wire::DrainEngineCommand{engine, drain}, [](const wire::CommandResult&) {});
      });
      return;
    }
  }
}

void SimulatedOperators::replaceMember(MemberId lost, const wire::Member& replacement) {
  lost_ = lost;
  replacement_ = replacement;
  replacing_ = true;
  continueReplacing();
}

void SimulatedOperators::continueReplacing() {
  if (!replacing_) {
    return;
  }
  for (const auto& [name, control] : context_.directory.controls()) {
    if (control->running() && !control->paused() && control->node()->leads()) {
      SimulatedControl* leader = control;
      leader->perform([this, leader] { proposeReplacementStep(*leader); });
      break;
    }
  }
  context_.events.after(kReplaceInterval, [this] { continueReplacing(); });
}

void SimulatedOperators::proposeReplacementStep(SimulatedControl& leader) {
  const wire::Membership& membership = leader.node()->log().membership();
  const wire::Member* replacement = findMember(membership, replacement_.id);
  control::MembershipChange change;
  if (findMember(membership, lost_) != nullptr) {
    change.action = control::MembershipAction::Remove;
    change.member.id = lost_;
  } else if (replacement == nullptr) {
    change.action = control::MembershipAction::AddLearner;
    change.member = replacement_;
  } else if (!replacement->voter) {
    change.action = control::MembershipAction::Promote;
    change.member.id = replacement_.id;
  } else {
    // Seen in the log in force of a leader; the change counts as finished once it is committed.
    SimulatedControl* process = &leader;
    leader.confirmRead([this, process](bool confirmed) {
      if (confirmed && process->node() != nullptr) {
        const wire::Member* member = findMember(process->node()->log().membership(), replacement_.id);
        replacing_ = replacing_ && !(member != nullptr && member->voter);
      }
    });
    return;
  }
  leader.changeMembership(change, [](const wire::CommandResult&) {});
}

}  // namespace ferryrock::simulation
