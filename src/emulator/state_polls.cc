#include "emulator/state_polls.h"

#include <utility>

#include "emulator/engine_json.h"
#include "emulator/http_answers.h"

namespace ferryrock::emulator {

bool StatePolls::due(std::uint64_t after_version) const {
  const std::uint64_t version = host_.model().stateVersion();
  return version != after_version;
}

void StatePolls::answer(const http::ResponseWriterPtr& writer) const {
  respondJson(writer, kStatusOk, formatState(host_.model().state(), host_.model().role()));
}

void StatePolls::add(const http::ResponseWriterPtr& writer, std::uint64_t after_version, Duration wait) {
  if (due(after_version) || wait <= Duration::zero()) {
    answer(writer);
    return;
  }
  auto poll = std::make_shared<Poll>();
  poll->writer = writer;
  poll->after_version = after_version;
  const Poll* identity = poll.get();
  poll->timer = dispatcher_.createTimer([this, identity] {
    for (const std::shared_ptr<Poll>& held : PollList(polls_)) {
      if (held.get() == identity) {
        remove(identity);
        answer(held->writer);
      }
    }
  });
  poll->timer->enable(wait);
  writer->onClosed([this, identity] { remove(identity); });
  polls_.push_back(std::move(poll));
}

void StatePolls::remove(const Poll* poll) {
  polls_.remove_if([poll](const std::shared_ptr<Poll>& held) { return held.get() == poll; });
}

void StatePolls::onStateChanged() {
  PollList ready;
  for (auto poll = polls_.begin(); poll != polls_.end();) {
    const auto current = poll++;
    if (due((*current)->after_version)) {
      ready.splice(ready.end(), polls_, current);
    }
  }
  for (const std::shared_ptr<Poll>& poll : ready) {
    answer(poll->writer);
  }
}

void StatePolls::abortAll() {
  for (const std::shared_ptr<Poll>& poll : std::exchange(polls_, {})) {
    poll->writer->abort();
  }
}

}  // namespace ferryrock::emulator
