#include "emulator/engine_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "common/error.h"
#include "emulator/engine_json.h"

namespace ferryrock::emulator {
namespace {

constexpr const char* kIncarnationFile = "incarnation";
constexpr const char* kCheckpointsFile = "checkpoints.json";
constexpr const char* kJournalFile = "journal.jsonl";
/// Lines that an engine without a data folder keeps.
constexpr std::size_t kMaxLinesInMemory = 100'000;
constexpr mode_t kFileMode = 0644;

[[noreturn]] void storageFailed(const std::string& what, const std::string& path) {
  throw Error(ResultCode::StorageFailed, what + ": " + std::strerror(errno), path);
}

std::string readIfThere(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  std::ostringstream text;
  if (input && input.peek() != std::ifstream::traits_type::eof()) {
    text << input.rdbuf();
  }
  return text.str();
}

void syncFolder(const std::string& folder) {
  const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (descriptor < 0) {
    storageFailed("the folder can't be opened", folder);
  }
  const int result = ::fsync(descriptor);
  ::close(descriptor);
  if (result != 0) {
    storageFailed("the folder can't be synced", folder);
  }
}

/// Replaces a file so that a crash leaves the old or the new content; synced when it returns.
void replaceFile(const std::string& folder, const std::string& path, const std::string& content) {
  const std::string temporary = path + ".new";
  const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
  if (descriptor < 0) {
    storageFailed("the file can't be created", temporary);
  }
  const ssize_t written = ::write(descriptor, content.data(), content.size());
  const bool synced = written == static_cast<ssize_t>(content.size()) && ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!synced) {
    storageFailed("the file can't be written", temporary);
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    storageFailed("the file can't be replaced", path);
  }
  syncFolder(folder);
}

}  // namespace

EngineFiles::EngineFiles(std::string folder) : folder_(std::move(folder)) {
  if (folder_.empty()) {
    return;
  }
  std::error_code fault;
  std::filesystem::create_directories(folder_, fault);
  if (fault) {
    throw Error(ResultCode::StorageFailed, "the data folder can't be created: " + fault.message(), folder_);
  }
  openJournal();
}

EngineFiles::~EngineFiles() = default;

void EngineFiles::openJournal() {
  journal_.reset(std::fopen(path(kJournalFile).c_str(), "ae"));
  if (!journal_) {
    storageFailed("the journal can't be opened", path(kJournalFile));
  }
}

Incarnation EngineFiles::nextIncarnation() {
  if (folder_.empty()) {
    incarnation_in_memory_ = incarnation_in_memory_.next();
    return incarnation_in_memory_;
  }
  const std::string text = readIfThere(path(kIncarnationFile));
  std::uint64_t stored = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), stored);
  if (!text.empty() && fault != std::errc{}) {
    throw Error(ResultCode::CorruptRecord, "the incarnation isn't a number", path(kIncarnationFile));
  }
  const Incarnation next(stored + 1);
  replaceFile(folder_, path(kIncarnationFile), std::to_string(next.value) + "\n");
  return next;
}

void EngineFiles::appendJournal(const JournalRecord& record, WallMilliseconds wall_ms) {
  std::string line = formatJournalRecord(record, wall_ms);
  line += '\n';
  if (journal_) {
    std::fwrite(line.data(), 1, line.size(), journal_.get());
    if (std::fflush(journal_.get()) != 0) {
      storageFailed("the journal can't be written", path(kJournalFile));
    }
    return;
  }
  journal_in_memory_.push_back(std::move(line));
  if (journal_in_memory_.size() > kMaxLinesInMemory) {
    journal_in_memory_.pop_front();
  }
}

std::string EngineFiles::journal() const {
  if (journal_) {
    return readIfThere(path(kJournalFile));
  }
  std::string text;
  for (const std::string& line : journal_in_memory_) {
    text += line;
  }
  return text;
}

void EngineFiles::storeCheckpoints(const std::list<Checkpoint>& checkpoints) {
  if (folder_.empty()) {
    checkpoints_in_memory_.assign(checkpoints.begin(), checkpoints.end());
    return;
  }
  replaceFile(folder_, path(kCheckpointsFile), formatCheckpoints(checkpoints));
}

std::vector<Checkpoint> EngineFiles::checkpoints() const {
  if (folder_.empty()) {
    return checkpoints_in_memory_;
  }
  const std::string text = readIfThere(path(kCheckpointsFile));
  return text.empty() ? std::vector<Checkpoint>{} : parseCheckpoints(text);
}

}  // namespace ferryrock::emulator
