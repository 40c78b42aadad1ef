#include "storage/record_journal.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "storage/frame.h"

namespace ferryrock::storage {
namespace {

constexpr std::string_view kPrefix = "records-";

std::string nameOf(std::uint64_t file) {
  return std::string(kPrefix) + std::to_string(file);
}

std::optional<std::uint64_t> numberOf(std::string_view name) {
  if (name.substr(0, kPrefix.size()) != kPrefix) {
    return std::nullopt;
  }
  const std::string_view digits = name.substr(kPrefix.size());
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool whole = fault == std::errc{} && end == digits.data() + digits.size();
  return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

std::vector<std::string> RecordJournal::recover() {
  for (const std::string& name : files_->list()) {
    if (const auto number = numberOf(name)) {
      previous_files_.push_back(*number);
    }
  }
  std::sort(previous_files_.begin(), previous_files_.end());
  last_file_ = previous_files_.empty() ? 0 : previous_files_.back();
  std::vector<std::string> records;
  for (const std::uint64_t file : previous_files_) {
    const std::string bytes = files_->read(nameOf(file));
    for (const Frame& frame : scanFrames(bytes).frames) {
      records.emplace_back(frame.payload);
    }
  }
  return records;
}

void RecordJournal::append(std::string_view record) {
  if (current_file_ == 0) {
    current_file_ = ++last_file_;
    valid_bytes_ = 0;
  }
  const std::string file = nameOf(current_file_);
  repair(file);
  const std::string frame = encodeFrame(++last_record_, record);
  damaged_ = true;
  files_->append(file, frame);
  files_->sync(file);
  if (valid_bytes_ == 0) {
    files_->syncFolder();
  }
  damaged_ = false;
  valid_bytes_ += frame.size();
}

void RecordJournal::repair(const std::string& file) {
  if (damaged_ && files_->exists(file)) {
    files_->truncate(file, valid_bytes_);
  }
  damaged_ = false;
}

void RecordJournal::rotate() {
  const std::vector<std::uint64_t> expired = std::exchange(previous_files_, {});
  if (current_file_ != 0) {
    previous_files_.push_back(std::exchange(current_file_, 0));
  }
  damaged_ = false;
  for (const std::uint64_t file : expired) {
    files_->remove(nameOf(file));
  }
  if (!expired.empty()) {
    files_->syncFolder();
  }
}

}  // namespace ferryrock::storage
