#include "load/answer_reader.h"

#include <nlohmann/json.hpp>

namespace ferryrock::load {

namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEventEnd = "\n\n";
constexpr const char* kDoneMark = "[DONE]";
constexpr int kFirstErrorStatus = 400;

/// Text of the first choice: of a chunk, a chat message or a completion.
std::string choiceText(const nlohmann::json& json) {
  const nlohmann::json choice =
      json.value("choices", nlohmann::json::array({nlohmann::json::object()})).at(0);
  for (const char* holder : {"delta", "message"}) {
    if (choice.contains(holder)) {
      return choice.at(holder).value("content", "");
    }
  }
  return choice.value("text", "");
}

int errorCode(const nlohmann::json& error) {
  const nlohmann::json code = error.value("code", nlohmann::json(0));
  if (code.is_string()) {
    return std::atoi(code.get<std::string>().c_str());
  }
  return code.is_number_integer() ? code.get<int>() : 0;
}

}  // namespace

void AnswerReader::begin(int status, bool event_stream) {
  status_ = status;
  event_stream_ = event_stream;
}

void AnswerReader::add(std::string_view bytes) {
  buffer_ += bytes;
  if (event_stream_) {
    readEvents();
  }
}

void AnswerReader::finish() {
  if (!event_stream_) {
    readBody();
  }
  record_.whole = record_.ends > 0 && !failed_;
}

void AnswerReader::readEvents() {
  std::size_t begin = 0;
  for (std::size_t end = buffer_.find(kEventEnd); end != std::string::npos;
       end = buffer_.find(kEventEnd, begin)) {
    readEvent(std::string_view(buffer_).substr(begin, end - begin));
    begin = end + kEventEnd.size();
  }
  buffer_.erase(0, begin);
}

void AnswerReader::readEvent(std::string_view event) {
  std::string data;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.substr(0, kDataField.size()) == kDataField) {
      std::string_view value = line.substr(kDataField.size());
      value.remove_prefix(!value.empty() && value.front() == ' ' ? 1 : 0);
      data += value;
    }
  }
  if (!data.empty()) {
    readData(data);
  }
}

void AnswerReader::readData(const std::string& data) {
  if (data == kDoneMark) {
    ++record_.ends;
    return;
  }
  try {
    const nlohmann::json json = nlohmann::json::parse(data);
    if (json.contains("error")) {
      failed_ = true;
      record_.code = errorCode(json.at("error"));
      record_.outcome = json.at("error").value("outcome", record_.outcome);
      return;
    }
    const std::string text = choiceText(json);
    pieces_ += text.empty() ? 0 : 1;
    record_.text += text;
  } catch (const nlohmann::json::exception& fault) {
    failed_ = true;
    record_.failure = fault.what();
  }
}

void AnswerReader::readBody() {
  try {
    const nlohmann::json json = nlohmann::json::parse(buffer_);
    if (json.contains("error")) {
      failed_ = true;
      record_.code = errorCode(json.at("error"));
    } else if (status_ < kFirstErrorStatus) {
      record_.text = choiceText(json);
      record_.ends = 1;
      pieces_ = 1;
    }
  } catch (const nlohmann::json::exception& fault) {
    failed_ = true;
    record_.failure = fault.what();
  }
}

}  // namespace ferryrock::load
