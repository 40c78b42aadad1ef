#include "router_process/completion_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http/error_body.h"

namespace ferryrock::router_process {
namespace {

using nlohmann::json;

/// Text of a JSON value; bytes that aren't UTF-8 are replaced instead of throwing.
std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageOf(const router::StreamEnd& end) {
  return {{"prompt_tokens", end.prompt_tokens},
          {"completion_tokens", end.completion_tokens},
          {"total_tokens", end.prompt_tokens + end.completion_tokens}};
}

bool needsEscape(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kFirstBeyondAscii = 0x7f;
  return code < kFirstPrintable || code >= kFirstBeyondAscii || byte == '"' || byte == '\\';
}

/// Appends a JSON text. Plain ASCII, which most chunks are, is copied as it is.
void appendText(std::string& out, const std::string& text) {
  for (const char byte : text) {
    if (needsEscape(byte)) {
      out += dump(json(text));
      return;
    }
  }
  out += '"';
  out += text;
  out += '"';
}

json failureJson(const router::CallerFailureEffect& failure) {
  json body = json::parse(http::errorBody(failure.code, failure.detail));
  json& error = body["error"];
  error["outcome"] = outcomeName(failure.outcome);
  error["request_id"] = failure.request.value;
  return body;
}

}  // namespace

ChunkWriter::ChunkWriter(const AnswerHead& head) : chat_(head.form == CompletionForm::Chat) {
  head_ = "data: {\"id\":" + dump(json(head.id.value)) + ",\"object\":\"" +
          (chat_ ? "chat.completion.chunk" : "text_completion") +
          "\",\"created\":" + std::to_string(head.created) + ",\"model\":" + dump(json(head.model.value)) +
          ",\"choices\":[";
}

std::string_view ChunkWriter::chunk(const router::StreamChunk& chunk) {
  event_ = head_;
  event_ += chat_ ? "{\"index\":0,\"delta\":{" : "{\"index\":0,";
  if (chat_ && first_) {
    event_ += "\"role\":\"assistant\",";
  }
  first_ = false;
  event_ += chat_ ? "\"content\":" : "\"text\":";
  appendText(event_, chunk.text);
  event_ += chat_ ? "},\"finish_reason\":" : ",\"finish_reason\":";
  if (chunk.finish_reason.empty()) {
    event_ += "null";
  } else {
    appendText(event_, chunk.finish_reason);
  }
  event_ += "}]}\n\n";
  return event_;
}

std::string ChunkWriter::usage(const router::StreamEnd& end) const {
  return head_ + "],\"usage\":" + dump(usageOf(end)) + "}\n\n";
}

std::string wholeAnswer(const AnswerHead& head, const router::CallerAnswerEffect& answer) {
  const bool chat = head.form == CompletionForm::Chat;
  json choice = {{"index", 0}, {"finish_reason", answer.finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", answer.text}};
  } else {
    choice["text"] = answer.text;
  }
  return dump({{"id", head.id.value},
               {"object", chat ? "chat.completion" : "text_completion"},
               {"created", head.created},
               {"model", head.model.value},
               {"choices", json::array({std::move(choice)})},
               {"usage", usageOf(answer.end)}});
}

std::string failureBody(const router::CallerFailureEffect& failure) {
  return dump(failureJson(failure));
}

std::string failureEvent(const router::CallerFailureEffect& failure) {
  return "event: error\ndata: " + failureBody(failure) + "\n\n";
}

std::string modelList(const std::vector<ModelName>& names) {
  json list = json::array();
  for (const ModelName& name : names) {
    list.push_back({{"id", name.value}, {"object", "model"}, {"created", 0}, {"owned_by", "ferryrock"}});
  }
  return dump({{"object", "list"}, {"data", std::move(list)}});
}

std::string_view outcomeName(router::Outcome outcome) {
  switch (outcome) {
    case router::Outcome::Ran:
      return "ran";
    case router::Outcome::NotRun:
      return "not-run";
    case router::Outcome::Unknown:
      break;
  }
  return "unknown";
}

}  // namespace ferryrock::router_process
