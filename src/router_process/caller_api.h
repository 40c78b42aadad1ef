#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "common/metrics.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "router/router_node.h"
#include "router_process/caller_request.h"
#include "router_process/completion_json.h"

namespace ferryrock::router_process {

/// The callers' HTTP interface: reads requests, hands them to the router, and gives each exactly one answer,
/// whole, as a stream, or as a coded refusal. A stream that can't be completed ends with an error event and a
/// cut connection, never with its proper end. Used on the dispatcher's thread.
class CallerApi {
 public:
  /// Carries out what a step of the router returned.
  using EffectsCallback = std::function<void(const router::Effects&)>;

  /// update_metrics is called before each reading of the metrics.
  CallerApi(event::Dispatcher& dispatcher, router::RouterNode& node, std::string id_prefix,
            MetricsRegistry& metrics, event::Callback update_metrics, EffectsCallback carry_out);
  ~CallerApi();

  void handle(http::Request request, const http::ResponseWriterPtr& response);
  void onChunk(const router::CallerChunkEffect& effect);
  void onAnswer(const router::CallerAnswerEffect& effect);
  void onFailure(const router::CallerFailureEffect& effect);
  /// Headers of refusals that the server gives before a request gets here.
  http::Headers refusalHeaders();
  /// Callers whose answer hasn't ended.
  std::size_t openAnswers() const { return calls_.size(); }
  /// From now on /readyz tells load balancers to go elsewhere, and answers close their connections.
  void beginDrain() { draining_ = true; }

 private:
  /// One caller that waits for its answer or reads it.
  struct Call {
    AnswerHead head;
    ChunkWriter chunks;
    http::ResponseWriterPtr response;
    TimePoint arrived;
    bool stream = false;
    bool include_usage = false;
    bool started = false;
    bool slow = false;  ///< the router was told that its buffer is filled
  };

  void route(http::Request& request, const http::ResponseWriterPtr& response, const RequestId& id);
  void serveState(const http::Request& request, const http::ResponseWriterPtr& response);
  void serveCompletion(http::Request request, const http::ResponseWriterPtr& response, CompletionForm form,
                       const RequestId& id);
  void refuse(const http::ResponseWriterPtr& response, const router::CallerFailureEffect& failure);
  void watch(const RequestId& id, const http::ResponseWriterPtr& response);
  void startStream(Call& call);
  void writeChunk(Call& call, const router::StreamChunk& chunk);
  void reportBuffer(Call& call);
  void observeEnd(const Call& call, router::Outcome outcome, ResultCode code);
  http::Headers answerHeaders(const RequestId& id, router::Outcome outcome, std::string type) const;
  RequestId nextId();
  TimePoint now() { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  router::RouterNode& node_;
  std::string id_prefix_;
  MetricsRegistry& metrics_;
  event::Callback update_metrics_;
  EffectsCallback carry_out_;
  HistogramMetric& first_chunk_seconds_;
  HistogramMetric& answer_seconds_;
  std::uint64_t requests_ = 0;
  bool draining_ = false;
  std::unordered_map<RequestId, Call> calls_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ferryrock::router_process
