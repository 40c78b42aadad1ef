#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "router/router_node.h"
#include "router_process/caller_request.h"

/// Writes answers in the form that OpenAI clients read.
namespace ferryrock::router_process {

/// What each piece of an answer repeats.
struct AnswerHead {
  RequestId id;
  ModelName model;
  CompletionForm form = CompletionForm::Chat;
  std::int64_t created = 0;  ///< seconds since the Unix epoch
};

/// One server-sent event per chunk. Its constant parts are made once per answer.
class ChunkWriter {
 public:
  explicit ChunkWriter(const AnswerHead& head);
  /// The bytes stay valid until the next call.
  std::string_view chunk(const router::StreamChunk& chunk);
  /// Event with the counts of tokens and no choice.
  std::string usage(const router::StreamEnd& end) const;

 private:
  bool chat_;
  bool first_ = true;
  std::string head_;  ///< up to the choices
  std::string event_;
};

/// End of a stream that is whole.
inline constexpr std::string_view kStreamDone = "data: [DONE]\n\n";

/// Body of a whole answer.
std::string wholeAnswer(const AnswerHead& head, const router::CallerAnswerEffect& answer);
/// Body of a refusal or a failure.
std::string failureBody(const router::CallerFailureEffect& failure);
/// Error event of a stream that can't be completed. It isn't followed by kStreamDone.
std::string failureEvent(const router::CallerFailureEffect& failure);
/// Body of GET /v1/models.
std::string modelList(const std::vector<ModelName>& names);
/// Value of X-Ferryrock-Outcome.
std::string_view outcomeName(router::Outcome outcome);

}  // namespace ferryrock::router_process
