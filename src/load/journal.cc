#include "load/journal.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

constexpr const char* kJournalFile = "journal.jsonl";

constexpr std::array<std::pair<const char*, JournalEventKind>, 8> kEventWords = {{
    {"start", JournalEventKind::Start},
    {"run_begin", JournalEventKind::RunBegin},
    {"run_end", JournalEventKind::RunEnd},
    {"hold_begin", JournalEventKind::HoldBegin},
    {"hold_ready", JournalEventKind::HoldReady},
    {"hold_end", JournalEventKind::HoldEnd},
    {"adapter_begin", JournalEventKind::AdapterBegin},
    {"adapter_end", JournalEventKind::AdapterEnd},
}};

JournalEventKind kindFromWord(const std::string& text) {
  for (const auto& [word, kind] : kEventWords) {
    if (text == word) {
      return kind;
    }
  }
  return JournalEventKind::Other;
}

void readStart(const nlohmann::json& json, JournalEvent& event) {
  json.at("engine").get_to(event.engine);
  json.at("incarnation").get_to(event.incarnation);
  json.at("accelerators").get_to(event.accelerator_count);
  json.at("bytes_per_accelerator").get_to(event.capacity_bytes);
}

void readRunBegin(const nlohmann::json& json, JournalEvent& event) {
  json.at("attempt").get_to(event.attempt);
  json.at("request").get_to(event.request);
  json.at("key").get_to(event.key);
  json.at("model").get_to(event.model);
  json.at("from_chunk").get_to(event.from_chunk);
}

void readHoldBegin(const nlohmann::json& json, JournalEvent& event) {
  json.at("slot").get_to(event.slot);
  json.at("model").get_to(event.model);
  json.at("accelerators").get_to(event.accelerators);
  json.at("bytes_per_accelerator").get_to(event.bytes);
}

void readAdapter(const nlohmann::json& json, JournalEvent& event) {
  json.at("slot").get_to(event.slot);
  json.at("adapter").get_to(event.adapter);
  if (event.kind == JournalEventKind::AdapterBegin) {
    json.at("bytes").get_to(event.bytes);
  }
}

JournalEvent eventFromJson(const nlohmann::json& json, const std::string& place) {
  JournalEvent event;
  event.place = place;
  event.kind = kindFromWord(json.at("event").get<std::string>());
  json.at("wall_ms").get_to(event.wall_ms);
  switch (event.kind) {
    case JournalEventKind::Start:
      readStart(json, event);
      break;
    case JournalEventKind::RunBegin:
      readRunBegin(json, event);
      break;
    case JournalEventKind::RunEnd:
      json.at("attempt").get_to(event.attempt);
      json.at("how").get_to(event.how);
      break;
    case JournalEventKind::HoldBegin:
      readHoldBegin(json, event);
      break;
    case JournalEventKind::HoldReady:
    case JournalEventKind::HoldEnd:
      json.at("slot").get_to(event.slot);
      break;
    case JournalEventKind::AdapterBegin:
    case JournalEventKind::AdapterEnd:
      readAdapter(json, event);
      break;
    case JournalEventKind::Other:
      break;
  }
  return event;
}

/// Collects the events of one file; remembers a broken line until the next one shows whether it was torn.
class JournalBuilder {
 public:
  void addLine(const std::string& line, const std::string& place) {
    std::optional<JournalEvent> event;
    std::string fault;
    try {
      event = eventFromJson(nlohmann::json::parse(line), place);
    } catch (const nlohmann::json::exception& exception) {
      fault = exception.what();
    }
    if (broken_place_ && (!event || event->kind != JournalEventKind::Start)) {
      throw Error(ResultCode::MalformedBody, broken_reason_, *broken_place_);
    }
    broken_place_.reset();
    if (!event) {
      broken_place_ = place;
      broken_reason_ = fault;
      ++journal_.torn_lines;
      return;
    }
    if (event->kind == JournalEventKind::Start) {
      journal_.engine = event->engine;
    }
    journal_.events.push_back(std::move(*event));
  }

  EngineJournal take() { return std::move(journal_); }

 private:
  EngineJournal journal_;
  std::optional<std::string> broken_place_;
  std::string broken_reason_;
};

}  // namespace

EngineJournal readJournal(const std::string& file) {
  JournalBuilder builder;
  forEachLine(
      file, [&builder](const std::string& line, const std::string& place) { builder.addLine(line, place); });
  return builder.take();
}

std::vector<EngineJournal> readJournals(const std::vector<std::string>& folders) {
  std::vector<std::string> files;
  for (const std::string& folder : folders) {
    if (!std::filesystem::is_directory(folder)) {
      throw Error(ResultCode::UnreadableFile, "'" + folder + "' isn't a folder", folder);
    }
    if (std::filesystem::exists(std::filesystem::path(folder) / kJournalFile)) {
      files.push_back(std::filesystem::path(folder) / kJournalFile);
    }
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      if (entry.is_directory() && std::filesystem::exists(entry.path() / kJournalFile)) {
        files.push_back(entry.path() / kJournalFile);
      }
    }
  }
  std::sort(files.begin(), files.end());
  std::vector<EngineJournal> journals;
  journals.reserve(files.size());
  for (const std::string& file : files) {
    journals.push_back(readJournal(file));
  }
  return journals;
}

}  // namespace ferryrock::load
