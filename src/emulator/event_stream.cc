#include "emulator/event_stream.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "emulator/json_fields.h"
#include "http/error_body.h"

namespace ferryrock::emulator {
namespace {

using nlohmann::json;

constexpr std::string_view kFinishLength = "\"length\"}]}\n\n";
constexpr std::string_view kFinishNone = "null}]}\n\n";

const char* objectName(AnswerForm form) {
  return form == AnswerForm::Chat ? "chat.completion.chunk" : "text_completion";
}

}  // namespace

void EventStream::prepare(const InferenceRequestPtr& request) {
  if (prepared_for_ == request) {
    return;
  }
  prepared_for_ = request;
  const bool chat = request->form == AnswerForm::Chat;
  before_number_ = "id: " + request->attempt.value + "/";
  before_text_ = "\ndata: {\"id\":" + json(request->attempt.value).dump() + ",\"object\":\"" +
                 objectName(request->form) + "\",\"model\":" + dumpJson(json(request->model.value)) +
                 ",\"choices\":[{\"index\":0," + (chat ? "\"delta\":{\"content\":\"" : "\"text\":\"");
  after_text_ = chat ? "\"},\"finish_reason\":" : "\",\"finish_reason\":";
}

std::string_view EventStream::chunk(const InferenceRequestPtr& request, std::uint64_t number,
                                    std::string_view text, bool last) {
  prepare(request);
  constexpr std::size_t kMaxDigits = 20;
  std::array<char, kMaxDigits> digits{};
  const auto [end, fault] = std::to_chars(digits.data(), digits.data() + digits.size(), number);
  event_ = before_number_;
  event_.append(digits.data(), end);
  event_ += before_text_;
  event_ += text;
  event_ += after_text_;
  event_ += last ? kFinishLength : kFinishNone;
  return event_;
}

std::string EventStream::end(const InferenceRequest& request, std::uint64_t count) {
  const json summary = {{"ferryrock_end",
                         {{"count", count},
                          {"prompt_tokens", request.prompt_tokens.size()},
                          {"completion_tokens", count},
                          {"finish_reason", "length"}}}};
  return "id: " + request.attempt.value + "/end\ndata: " + summary.dump() + "\n\ndata: [DONE]\n\n";
}

std::string EventStream::error(ResultCode code, const std::string& detail) {
  return "event: error\ndata: " + http::errorBody(code, detail) + "\n\n";
}

std::string EventStream::whole(const InferenceRequest& request, const std::string& text,
                               std::uint64_t count) {
  const bool chat = request.form == AnswerForm::Chat;
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const std::size_t prompt_tokens = request.prompt_tokens.size();
  return dumpJson(json{{"id", request.attempt.value},
                       {"object", chat ? "chat.completion" : "text_completion"},
                       {"model", request.model.value},
                       {"choices", json::array({choice})},
                       {"usage",
                        {{"prompt_tokens", prompt_tokens},
                         {"completion_tokens", count},
                         {"total_tokens", prompt_tokens + count}}}});
}

}  // namespace ferryrock::emulator
