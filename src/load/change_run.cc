#include "load/change_run.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ferryrock::load {

namespace {

constexpr int kStatusOk = 200;
/// A version that a process goes on showing is written at least this often, for the check of lateness.
constexpr WallMilliseconds kRepeatSightingMs = 500;
/// Deadlines that the changes set, in milliseconds: each change has its own.
constexpr std::uint32_t kFirstDeadlineMs = 30'000;

nlohmann::json findNode(const nlohmann::json& tree, const std::string& name) {
  for (const nlohmann::json& node : tree.at("nodes")) {
    if (node.at("name") == name) {
      return node;
    }
  }
  return {{"name", name}, {"kind", "defaults"}, {"parent", ""}, {"settings", nlohmann::json::object()}};
}

}  // namespace

ChangeRun::ChangeRun(event::Dispatcher& dispatcher, http::Client& client, ChangeRunSettings settings,
                     LineCallback on_line, event::Callback on_finished)
    : dispatcher_(dispatcher),
      client_(client),
      settings_(std::move(settings)),
      on_line_(std::move(on_line)),
      on_finished_(std::move(on_finished)),
      random_(settings_.seed),
      round_timer_(dispatcher.createTimer([this] { beginRound(); })),
      settle_timer_(dispatcher.createTimer([this] { readHistory(); })) {
  for (const std::string& process : settings_.processes) {
    watches_.push_back(
        std::make_unique<VersionWatch>(dispatcher_, client_, process, settings_.watch_interval,
                                       [this](const VersionSighting& sighting) { onSighting(sighting); }));
  }
}

void ChangeRun::start() {
  for (const auto& watch : watches_) {
    watch->start();
  }
  beginRound();
}

void ChangeRun::stop() {
  settings_.count = rounds_;
  round_timer_->disable();
  settle_timer_->enable(settings_.settle);
}

void ChangeRun::beginRound() {
  if (rounds_ == settings_.count) {
    settle_timer_->enable(settings_.settle);
    return;
  }
  ++rounds_;
  round_timer_->enable(settings_.interval);
  const bool race = random_.chance(settings_.race_share);
  openSession("GET", "/api/tree", "", [this, race](const CallAnswer& answer) { onTree(answer, race); });
}

void ChangeRun::onTree(const CallAnswer& answer, bool race) {
  if (answer.status != kStatusOk) {
    return;
  }
  const Change first = makeChange(answer);
  const bool resend = random_.chance(settings_.resend_share);
  submit(first, resend);
  if (race) {
    submit(makeChange(answer), false);
  }
}

ChangeRun::Change ChangeRun::makeChange(const CallAnswer& tree_answer) {
  const nlohmann::json tree = nlohmann::json::parse(tree_answer.body);
  Change change;
  change.id = settings_.name + "-" + std::to_string(changes_);
  change.value = std::to_string(kFirstDeadlineMs + changes_) + "ms";
  change.base_version = tree.at("version").get<std::uint64_t>();
  ++changes_;
  nlohmann::json node = findNode(tree, settings_.node);
  node["settings"]["deadline"] = change.value;
  change.body = nlohmann::json{{"change_id", change.id},
                               {"base_version", change.base_version},
                               {"author", "ferryrock-load"},
                               {"message", "a stand-in operator's change"},
                               {"upserts", nlohmann::json::array({node})},
                               {"removals", nlohmann::json::array()}}
                    .dump();
  return change;
}

void ChangeRun::submit(const Change& change, bool resend) {
  openSession(
      "POST", "/api/changes", change.body,
      [this, change, resend](const CallAnswer& answer) {
        if (resend && answer.status == kStatusOk) {
          submit(change, false);
        }
      },
      [this, change](const std::string& control, WallMilliseconds sent_ms, const CallAnswer& answer) {
        recordTry(change, control, sent_ms, answer);
      });
}

void ChangeRun::recordTry(const Change& change, const std::string& control, WallMilliseconds sent_ms,
                          const CallAnswer& answer) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  ChangeRecord record;
  record.change_id = change.id;
  record.control = control;
  record.base_version = change.base_version;
  record.node = settings_.node;
  record.value = change.value;
  record.sent_ms = sent_ms;
  record.end_ms = dispatcher_.timeSource().wallTime();
  if (answer.status == kStatusOk && body.is_object()) {
    record.outcome = ChangeOutcome::Accepted;
    record.version = body.value("version", std::uint64_t{0});
  } else if (body.is_object()) {
    record.code = body.value("code", 0);
    const bool refused = answer.status >= 400 && answer.status < 500;
    record.outcome = refused ? ChangeOutcome::Refused : ChangeOutcome::Unknown;
  }
  on_line_(toJsonLine(record));
}

void ChangeRun::onSighting(const VersionSighting& sighting) {
  const auto last = last_written_.find(sighting.process);
  const bool news = last == last_written_.end() || last->second.version != sighting.version ||
                    sighting.asked_ms >= last->second.asked_ms + kRepeatSightingMs;
  if (news) {
    last_written_[sighting.process] = sighting;
    on_line_(toJsonLine(sighting));
  }
}

void ChangeRun::readHistory() {
  openSession("GET", "/api/history", "", [this](const CallAnswer& answer) { finish(answer); });
}

void ChangeRun::finish(const CallAnswer& history) {
  watches_.clear();
  const auto body = nlohmann::json::parse(history.body, nullptr, false);
  if (body.is_object()) {
    for (const nlohmann::json& entry : body.value("entries", nlohmann::json::array())) {
      on_line_(toJsonLine(HistoryLine{entry.at("version"), entry.at("change_id")}));
    }
  }
  on_finished_();
}

void ChangeRun::openSession(const std::string& method, const std::string& path, const std::string& body,
                            OperatorSession::DoneCallback on_done, OperatorSession::TryCallback on_try) {
  const std::uint64_t number = next_session_++;
  sessions_[number] = std::make_unique<OperatorSession>(
      dispatcher_, client_, settings_.access, next_member_++, method, path, body,
      [this, number, on_done = std::move(on_done)](const CallAnswer& answer) {
        const std::unique_ptr<OperatorSession> ended = std::move(sessions_[number]);
        sessions_.erase(number);
        on_done(answer);
      },
      std::move(on_try));
}

}  // namespace ferryrock::load
