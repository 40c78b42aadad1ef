#include "router_process/caller_request.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "common/error.h"
#include "common/hashing.h"

namespace ferryrock::router_process {
namespace {

using nlohmann::json;

constexpr std::size_t kLongestName = 512;
constexpr std::size_t kLongestKey = 256;
constexpr std::int64_t kLongestTimeoutMs = 24LL * 3600 * 1000;
constexpr std::int64_t kLowestPriority = -1000;
constexpr std::int64_t kHighestPriority = 1000;
/// Requests whose prompts begin with the same bytes go where that prefix is warm.
constexpr std::size_t kPrefixBytes = 256;

/// The bytes that the model reads, as far as the router needs them.
struct PromptSummary {
  std::string prefix;
  std::uint64_t bytes = 0;

  void add(std::string_view text) {
    bytes += text.size();
    prefix.append(text.substr(0, kPrefixBytes - std::min(kPrefixBytes, prefix.size())));
  }
};

[[noreturn]] void refuseField(const std::string& field, const std::string& detail) {
  throw Error(ResultCode::InvalidField, "'" + field + "' " + detail, field);
}

json parseBody(const std::string& body) {
  try {
    json parsed = json::parse(body);
    if (!parsed.is_object()) {
      throw Error(ResultCode::MalformedBody, "the body must be a JSON object", "body");
    }
    return parsed;
  } catch (const json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), "body");
  }
}

std::string readModel(const json& body) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    refuseField("model", "must be given as a text");
  }
  auto name = model->get<std::string>();
  if (name.empty() || name.size() > kLongestName) {
    refuseField("model", "must have 1 to " + std::to_string(kLongestName) + " bytes");
  }
  return name;
}

bool readFlag(const json& body, const std::string& field) {
  const auto flag = body.find(field);
  if (flag == body.end() || flag->is_null()) {
    return false;
  }
  if (!flag->is_boolean()) {
    refuseField(field, "must be true or false");
  }
  return flag->get<bool>();
}

std::uint32_t readMaxTokens(const json& body) {
  for (const char* field : {"max_completion_tokens", "max_tokens"}) {
    const auto limit = body.find(field);
    if (limit == body.end() || limit->is_null()) {
      continue;
    }
    const bool valid = limit->is_number_unsigned() && limit->get<std::uint64_t>() > 0 &&
                       limit->get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (!valid) {
      refuseField(field, "must be a whole number above 0");
    }
    return limit->get<std::uint32_t>();
  }
  return 0;
}

/// Answers are one text; what would need more is refused instead of being left out in silence.
void refuseWhatCannotBeServed(const json& body) {
  for (const char* field : {"n", "best_of"}) {
    const auto count = body.find(field);
    if (count != body.end() && !count->is_null() && *count != 1) {
      refuseField(field, "must be 1: an answer has one choice");
    }
  }
  for (const char* field : {"tools", "functions", "audio"}) {
    const auto wanted = body.find(field);
    if (wanted != body.end() && !wanted->empty()) {
      refuseField(field, "isn't served: answers are text");
    }
  }
  const auto probabilities = body.find("logprobs");
  if (probabilities != body.end() && !probabilities->is_null() && *probabilities != false) {
    refuseField("logprobs", "isn't served: leave it out");
  }
}

void addContent(const json& content, PromptSummary& prompt) {
  if (content.is_string()) {
    prompt.add(content.get_ref<const std::string&>());
    return;
  }
  if (!content.is_array()) {
    refuseField("messages", "must have contents that are texts or lists of parts");
  }
  for (const json& part : content) {
    if (!part.is_object()) {
      refuseField("messages", "must have parts that are objects");
    }
    const auto text = part.find("text");
    if (text != part.end() && text->is_string()) {
      prompt.add(text->get_ref<const std::string&>());
    }
  }
}

PromptSummary readMessages(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    refuseField("messages", "must be a list with at least one message");
  }
  PromptSummary prompt;
  for (const json& message : *messages) {
    if (!message.is_object()) {
      refuseField("messages", "must be a list of objects");
    }
    const auto content = message.find("content");
    if (content != message.end() && !content->is_null()) {
      addContent(*content, prompt);
    }
  }
  return prompt;
}

PromptSummary readPrompt(const json& body) {
  const auto text = body.find("prompt");
  if (text == body.end() || !text->is_string()) {
    refuseField("prompt", "must be given as a text");
  }
  PromptSummary prompt;
  prompt.add(text->get_ref<const std::string&>());
  return prompt;
}

std::optional<std::int64_t> integerHeader(const http::Headers& headers, const std::string& name,
                                          std::int64_t low, std::int64_t high) {
  const auto text = http::findHeader(headers, name);
  if (!text) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [used, fault] = std::from_chars(text->data(), end, value);
  if (fault != std::errc{} || used != end || value < low || value > high) {
    throw Error(ResultCode::InvalidHeader,
                name + " must be a whole number from " + std::to_string(low) + " to " + std::to_string(high),
                name);
  }
  return value;
}

bool isPlainText(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char byte) { return byte > ' ' && byte <= '~'; });
}

std::optional<IdempotencyKey> readKey(const http::Headers& headers) {
  const auto key = http::findHeader(headers, "Idempotency-Key");
  if (!key) {
    return std::nullopt;
  }
  if (key->empty() || key->size() > kLongestKey || !isPlainText(*key)) {
    throw Error(ResultCode::InvalidHeader,
                "Idempotency-Key must have 1 to " + std::to_string(kLongestKey) + " visible characters",
                "Idempotency-Key");
  }
  return IdempotencyKey(*key);
}

std::string readSession(const json& body, const http::Headers& headers) {
  if (const auto session = http::findHeader(headers, "X-Session-Id")) {
    return *session;
  }
  const auto user = body.find("user");
  return user != body.end() && user->is_string() ? user->get<std::string>() : std::string();
}

void readHeaders(const http::Headers& headers, router::CallerRequest& request) {
  if (const auto timeout = integerHeader(headers, "X-Request-Timeout-Ms", 1, kLongestTimeoutMs)) {
    request.timeout = std::chrono::milliseconds(*timeout);
  }
  if (const auto priority = integerHeader(headers, "X-Request-Priority", kLowestPriority, kHighestPriority)) {
    request.priority = static_cast<std::int32_t>(*priority);
  }
  request.key = readKey(headers);
}

bool wantsUsage(const json& body) {
  const auto options = body.find("stream_options");
  if (options == body.end() || options->is_null()) {
    return false;
  }
  if (!options->is_object()) {
    refuseField("stream_options", "must be an object");
  }
  return readFlag(*options, "include_usage");
}

}  // namespace

ParsedRequest parseCallerRequest(http::Request http_request, CompletionForm form, RequestId id) {
  const json body = parseBody(http_request.body);
  refuseWhatCannotBeServed(body);
  ParsedRequest parsed;
  parsed.form = form;
  parsed.include_usage = wantsUsage(body);
  router::CallerRequest& request = parsed.request;
  request.id = std::move(id);
  request.model = ModelName(readModel(body));
  request.stream = readFlag(body, "stream");
  request.max_tokens = readMaxTokens(body);
  const PromptSummary prompt = form == CompletionForm::Chat ? readMessages(body) : readPrompt(body);
  request.prefix_hash = stableHash(prompt.prefix);
  request.prompt_bytes = prompt.bytes;
  request.session = readSession(body, http_request.headers);
  readHeaders(http_request.headers, request);
  request.path = std::move(http_request.path);
  request.body = std::move(http_request.body);
  return parsed;
}

}  // namespace ferryrock::router_process
