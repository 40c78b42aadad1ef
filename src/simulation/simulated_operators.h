#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "simulation/simulated_control.h"
#include "simulation/simulation_context.h"

namespace ferryrock::simulation {

/// Operators who change the tree, race each other, lose answers and send again; and the one who repairs the
/// cell.
class SimulatedOperators {
 public:
  SimulatedOperators(SimulationContext& context, Random random);

  /// Applies nodes as the first version; sent again until a member answers.
  void applyFirst(const std::vector<wire::TreeNode>& nodes);
  /// Makes changes at random intervals until the instant.
  void run(TimePoint until, Duration mean_interval);
  /// One change of a random value; sent until it is answered. Two at once from one version race.
  void change(bool race, bool lose_first_answer);
  /// Replaces a member identity by another on the same node, step by step, until it votes.
  void replaceMember(MemberId lost, const wire::Member& replacement);
  void drain(const EngineName& engine, bool drain);
  /// Members that are being replaced.
  bool replacing() const { return replacing_; }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t conflicts() const { return conflicts_; }

 private:
  void tryChange(bool race, bool lose_first_answer, std::uint32_t reads_left);
  struct Submission {
    wire::ChangeTreeCommand command;
    std::uint32_t sent = 0;
    bool answered = false;
    bool lose_first_answer = false;
  };

  void write(const std::string& what);
  void readSometimes();
  void readOnce();
  void checkRead(const SimulatedControl& control, bool confirmed, TreeVersion committed);
  /// Sends a change again that was answered long ago; its outcome has to be the first one.
  void resendEarlier();
  void scheduleNext(Duration mean_interval);
  SimulatedControl* pickControl();
  wire::ChangeTreeCommand makeChange(const catalog::Catalog& catalog);
  void submit(const std::shared_ptr<Submission>& submission);
  /// Unless it was sent again meanwhile.
  void submitLater(const std::shared_ptr<Submission>& submission, Duration wait);
  void answer(const std::shared_ptr<Submission>& submission, const wire::CommandResult& result);
  void continueReplacing();
  void proposeReplacementStep(SimulatedControl& leader);
  /// Answers travel the network back to the operator.
  void reply(const SimulatedControl& control, Callback deliver);

  SimulationContext& context_;
  Random random_;
  TimePoint until_;
  std::vector<wire::ChangeTreeCommand> sent_changes_;
  std::uint64_t next_change_ = 1;
  std::uint64_t accepted_ = 0;
  std::uint64_t conflicts_ = 0;
  bool replacing_ = false;
  MemberId lost_;
  wire::Member replacement_;
};

}  // namespace ferryrock::simulation
