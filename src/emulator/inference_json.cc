#include "emulator/inference_json.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "common/error.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxAttemptIdBytes = 200;
constexpr std::uint64_t kDefaultMaxTokens = 16;

template <class Integer>
std::optional<Integer> integerHeader(const http::Headers& headers, const char* name) {
  const auto text = http::findHeader(headers, name);
  if (!text) {
    return std::nullopt;
  }
  Integer value = 0;
  const auto [end, fault] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (text->empty() || fault != std::errc{} || end != text->data() + text->size()) {
    throw Error(ResultCode::InvalidHeader, std::string(name) + " must be a whole number", name);
  }
  return value;
}

std::string textHeader(const http::Headers& headers, const char* name) {
  return http::findHeader(headers, name).value_or("");
}

void appendWords(const std::string& text, std::vector<std::string>& words) {
  std::istringstream input(text);
  std::string word;
  while (input >> word) {
    words.push_back(word);
  }
}

/// Text of a message's content: a text, or a list of parts of which those of type text count.
std::string contentText(const json& message) {
  const auto content = message.find("content");
  if (content == message.end() || content->is_null()) {
    return {};
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    throw Error(ResultCode::InvalidField, "'content' must be a text or a list of parts", "messages");
  }
  std::string text;
  for (const json& part : *content) {
    if (part.is_object() && part.contains("text") && part["text"].is_string()) {
      text += part["text"].get<std::string>();
    }
  }
  return text;
}

void readMessages(const json& body, InferenceRequest& request) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    throw Error(ResultCode::InvalidField, "'messages' must be a list with at least one message", "messages");
  }
  for (const json& message : *messages) {
    if (!message.is_object()) {
      throw Error(ResultCode::InvalidField, "each message must be an object", "messages");
    }
    const auto role = message.find("role");
    request.prompt_tokens.push_back(role != message.end() && role->is_string() ? role->get<std::string>()
                                                                               : "user");
    request.prompt = contentText(message);
    appendWords(request.prompt, request.prompt_tokens);
  }
}

void readPrompt(const JsonFields& fields, InferenceRequest& request) {
  request.prompt = fields.text("prompt");
  appendWords(request.prompt, request.prompt_tokens);
}

void readHeaders(const http::Headers& headers, const AttemptId& fallback, InferenceRequest& request) {
  const auto attempt = http::findHeader(headers, "X-Attempt-Id");
  request.attempt = attempt ? parseAttemptId(*attempt) : fallback;
  request.request = RequestId(textHeader(headers, "X-Request-Id"));
  request.key = IdempotencyKey(textHeader(headers, "X-Idempotency-Key"));
  request.priority = integerHeader<std::int32_t>(headers, "X-Request-Priority").value_or(0);
  if (const auto deadline = integerHeader<std::int32_t>(headers, "X-Deadline-Ms")) {
    request.deadline = std::chrono::milliseconds(*deadline);
  }
  if (const auto slot = integerHeader<std::uint64_t>(headers, "X-Slot-Id")) {
    request.slot = SlotId(*slot);
  }
  if (const auto incarnation = integerHeader<std::uint64_t>(headers, "X-Engine-Incarnation")) {
    request.incarnation = Incarnation(*incarnation);
  }
}

}  // namespace

AttemptId parseAttemptId(const std::string& text) {
  const bool allowed = std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 ||
           std::string_view("-_.:/").find(static_cast<char>(character)) != std::string_view::npos;
  });
  if (text.empty() || text.size() > kMaxAttemptIdBytes || !allowed) {
    throw Error(ResultCode::InvalidHeader, "an attempt identifier has 1 to 200 letters, digits or -_.:/",
                "X-Attempt-Id");
  }
  return AttemptId(text);
}

ParsedInference parseInference(const http::Request& http_request, AnswerForm form, const AttemptId& fallback,
                               std::uint64_t max_tokens) {
  const JsonFields fields(http_request.body);
  auto request = std::make_shared<InferenceRequest>();
  request->form = form;
  request->model = ModelName(fields.text("model"));
  readHeaders(http_request.headers, fallback, *request);
  if (form == AnswerForm::Chat) {
    readMessages(fields.object(), *request);
  } else {
    readPrompt(fields, *request);
  }
  request->max_tokens = fields.has("max_completion_tokens") ? fields.number("max_completion_tokens")
                                                            : fields.number("max_tokens", kDefaultMaxTokens);
  if (request->max_tokens == 0 || request->max_tokens > max_tokens) {
    throw Error(ResultCode::InvalidField, "'max_tokens' must be between 1 and " + std::to_string(max_tokens),
                "max_tokens");
  }
  if (fields.has("ferryrock_continue")) {
    request->from_chunk = JsonFields::of(fields.object()["ferryrock_continue"]).number("from_chunk");
  }
  if (request->from_chunk > request->max_tokens) {
    throw Error(ResultCode::InvalidField, "'from_chunk' is past the end of the answer", "from_chunk");
  }
  return {std::move(request), fields.boolean("stream", false)};
}

}  // namespace ferryrock::emulator
