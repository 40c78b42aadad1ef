#include "load/call_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

constexpr std::array<std::pair<CallEnd, const char*>, 4> kEndWords = {{{CallEnd::Answered, "answered"},
                                                                       {CallEnd::Cut, "cut"},
                                                                       {CallEnd::TimedOut, "timed-out"},
                                                                       {CallEnd::Left, "left"}}};

const char* endWord(CallEnd end) {
  for (const auto& [value, word] : kEndWords) {
    if (value == end) {
      return word;
    }
  }
  throw Error(ResultCode::Internal, "unknown end of a call");
}

CallEnd endFromWord(const std::string& text, const std::string& place) {
  for (const auto& [value, word] : kEndWords) {
    if (text == word) {
      return value;
    }
  }
  throw Error(ResultCode::MalformedBody, "'" + text + "' isn't an end of a call", place);
}

}  // namespace

std::string toJsonLine(const CallRecord& record) {
  nlohmann::json json = {{"operation", record.operation},
                         {"call", record.call},
                         {"router", record.router},
                         {"request", record.request_id},
                         {"key", record.key},
                         {"model", record.model},
                         {"prompt", record.prompt},
                         {"max_tokens", record.max_tokens},
                         {"stream", record.stream},
                         {"slow_reader", record.slow_reader},
                         {"sent_ms", record.sent_ms},
                         {"deadline_ms", record.deadline_ms},
                         {"end_ms", record.end_ms},
                         {"end", endWord(record.end)},
                         {"status", record.status},
                         {"outcome", record.outcome},
                         {"code", record.code},
                         {"text", record.text},
                         {"whole", record.whole},
                         {"ends", record.ends},
                         {"unsent", record.unsent},
                         {"failure", record.failure}};
  if (record.first_token_ms) {
    json["first_token_ms"] = *record.first_token_ms;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

CallRecord callRecordFromJson(const std::string& line, const std::string& place) {
  try {
    const nlohmann::json json = nlohmann::json::parse(line);
    CallRecord record;
    json.at("operation").get_to(record.operation);
    json.at("call").get_to(record.call);
    json.at("router").get_to(record.router);
    json.at("request").get_to(record.request_id);
    json.at("key").get_to(record.key);
    json.at("model").get_to(record.model);
    json.at("prompt").get_to(record.prompt);
    json.at("max_tokens").get_to(record.max_tokens);
    json.at("stream").get_to(record.stream);
    json.at("slow_reader").get_to(record.slow_reader);
    json.at("sent_ms").get_to(record.sent_ms);
    json.at("deadline_ms").get_to(record.deadline_ms);
    json.at("end_ms").get_to(record.end_ms);
    record.end = endFromWord(json.at("end").get<std::string>(), place);
    json.at("status").get_to(record.status);
    json.at("outcome").get_to(record.outcome);
    json.at("code").get_to(record.code);
    json.at("text").get_to(record.text);
    json.at("whole").get_to(record.whole);
    json.at("ends").get_to(record.ends);
    json.at("unsent").get_to(record.unsent);
    json.at("failure").get_to(record.failure);
    if (json.contains("first_token_ms")) {
      record.first_token_ms = json.at("first_token_ms").get<WallMilliseconds>();
    }
    return record;
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), place);
  }
}

std::vector<CallRecord> readCallRecords(const std::string& file) {
  std::vector<CallRecord> records;
  forEachLine(file, [&records](const std::string& line, const std::string& place) {
    records.push_back(callRecordFromJson(line, place));
  });
  return records;
}

}  // namespace ferryrock::load
