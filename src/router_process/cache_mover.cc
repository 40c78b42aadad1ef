#include "router_process/cache_mover.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ferryrock::router_process {
namespace {

using nlohmann::json;

/// The stream's reader waits meanwhile, so a move may not cost much more than the prefill that it saves.
constexpr Duration kMoveLimit = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;

}  // namespace

void CacheMover::move(const router::CacheSource& source, const std::string& target_url,
                      event::Callback on_done) {
  const std::uint64_t id = next_id_++;
  Move& move = moves_[id];
  move.source_url = source.url;
  move.target_url = target_url;
  move.on_done = std::move(on_done);
  move.limit = dispatcher_.createTimer([this, id] { end(id, false); });
  move.limit->enable(kMoveLimit);
  post(id, source.url + "/kv/export", json{{"attempt", source.attempt.value}}.dump(),
       [this, id](Move& exported) { importCache(exported, id); });
}

void CacheMover::post(std::uint64_t id, const std::string& url, std::string body,
                      std::function<void(Move&)> on_answer) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = url;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  request.connect_timeout = kMoveLimit;
  http::ClientCallbacks callbacks;
  Move& move = moves_.at(id);
  move.status = 0;
  move.body.clear();
  callbacks.on_headers = [this, id](int status, const http::Headers&) { moves_.at(id).status = status; };
  callbacks.on_data = [this, id](std::string_view bytes) { moves_.at(id).body.append(bytes); };
  callbacks.on_complete = [this, id, on_answer = std::move(on_answer)] {
    if (moves_.at(id).status == kStatusOk) {
      on_answer(moves_.at(id));
    } else {
      end(id, false);
    }
  };
  callbacks.on_failure = [this, id](http::SendProgress, const std::string&) { end(id, false); };
  move.call = client_.send(std::move(request), std::move(callbacks));
}

void CacheMover::importCache(Move& move, std::uint64_t id) {
  const json answer = json::parse(move.body, nullptr, false);
  if (!answer.is_object() || !answer.contains("handle") || !answer["handle"].is_string()) {
    end(id, false);
    return;
  }
  post(id, move.target_url + "/kv/import",
       json{{"source", move.source_url}, {"handle", answer["handle"]}}.dump(),
       [this, id](Move&) { end(id, true); });
}

void CacheMover::end(std::uint64_t id, bool moved) {
  // The timer or call whose callback this is lives on until it has returned.
  const auto node = std::make_shared<decltype(moves_)::node_type>(moves_.extract(id));
  node->mapped().limit->disable();
  ++(moved ? moved_ : failed_);
  dispatcher_.post([node] {});
  node->mapped().on_done();
}

}  // namespace ferryrock::router_process
