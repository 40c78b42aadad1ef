#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "load/change_record.h"
#include "load/operator_session.h"
#include "load/version_watch.h"

namespace ferryrock::load {

/// What the stand-in operators do. Shares are of 0 to 1.
struct ChangeRunSettings {
  OperatorAccess access;
  std::vector<std::string> processes;  ///< base URLs of routers and members to watch
  std::string node = "load-changes";   ///< gets a new deadline with each change; created if it's missing
  std::string name = "c";              ///< prefix of change identifiers, unique among runs
  std::uint32_t count = 100;           ///< rounds; a race is one round with two changes
  Duration interval = std::chrono::milliseconds(200);       ///< between the beginnings of rounds
  Duration watch_interval = std::chrono::milliseconds(20);  ///< between two questions to a process
  Duration settle = std::chrono::seconds(6);                ///< watched after the last round
  double race_share = 0.2;    ///< rounds in which two operators change the same version
  double resend_share = 0.2;  ///< accepted changes that are sent again to another member
  std::uint64_t seed = 1;
};

/// Stand-in operators who change one node's settings in rounds, race each other and resend, while every
/// process is asked for the version that it has in force. At the end the cell's history is read.
class ChangeRun {
 public:
  using LineCallback = std::function<void(const std::string& json_line)>;

  ChangeRun(event::Dispatcher& dispatcher, http::Client& client, ChangeRunSettings settings,
            LineCallback on_line, event::Callback on_finished);

  void start();
  /// Begins no further round; what is under way is finished, settled and read as at the end.
  void stop();
  std::uint32_t roundsBegun() const { return rounds_; }

 private:
  struct Change {
    std::string id;
    std::string value;
    std::uint64_t base_version = 0;
    std::string body;
  };

  void beginRound();
  void onTree(const CallAnswer& answer, bool race);
  Change makeChange(const CallAnswer& tree_answer);
  void submit(const Change& change, bool resend);
  void recordTry(const Change& change, const std::string& control, WallMilliseconds sent_ms,
                 const CallAnswer& answer);
  void onSighting(const VersionSighting& sighting);
  void readHistory();
  void finish(const CallAnswer& history);
  void openSession(const std::string& method, const std::string& path, const std::string& body,
                   OperatorSession::DoneCallback on_done, OperatorSession::TryCallback on_try = {});

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  ChangeRunSettings settings_;
  LineCallback on_line_;
  event::Callback on_finished_;
  Random random_;
  std::uint32_t rounds_ = 0;
  std::uint32_t changes_ = 0;
  std::size_t next_member_ = 0;
  std::uint64_t next_session_ = 0;
  std::map<std::uint64_t, std::unique_ptr<OperatorSession>> sessions_;
  std::vector<std::unique_ptr<VersionWatch>> watches_;
  std::map<std::string, VersionSighting> last_written_;  ///< by process
  std::unique_ptr<event::Timer> round_timer_;
  std::unique_ptr<event::Timer> settle_timer_;
};

/// Counts, and the time from an operator's sending and from its acceptance until every process had the change
/// in force: one comparable line per figure.
std::string formatChangeSummary(const ChangeHistory& history);

}  // namespace ferryrock::load
