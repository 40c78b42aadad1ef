#include "router_process/data_folder.h"

#include <algorithm>
#include <charconv>

#include "storage/frame.h"

namespace ferryrock::router_process {
namespace {

constexpr const char* kIncarnationFile = "incarnation";
constexpr const char* kTableFile = "routing-table";
constexpr const char* kNewSuffix = ".new";
/// The only frame of a file.
constexpr std::uint64_t kFrameNumber = 1;

}  // namespace

std::uint64_t DataFolder::beginIncarnation(WallMilliseconds wall_time) {
  std::uint64_t last = 0;
  if (const auto text = readFile(kIncarnationFile)) {
    std::from_chars(text->data(), text->data() + text->size(), last);
  }
  const std::uint64_t fresh =
      std::max(last + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(wall_time, 0)));
  replaceFile(kIncarnationFile, std::to_string(fresh));
  return fresh;
}

std::optional<std::string> DataFolder::readTable() {
  return readFile(kTableFile);
}

void DataFolder::saveTable(const std::string& bytes) {
  replaceFile(kTableFile, bytes);
}

void DataFolder::removeTable() {
  if (files_->exists(kTableFile)) {
    files_->remove(kTableFile);
    files_->syncFolder();
  }
}

std::optional<std::string> DataFolder::readFile(const std::string& name) {
  if (!files_->exists(name)) {
    return std::nullopt;
  }
  const std::string bytes = files_->read(name);
  const storage::FrameScan scan = storage::scanFrames(bytes);
  if (scan.frames.size() != 1 || scan.valid_bytes != bytes.size()) {
    return std::nullopt;
  }
  return std::string(scan.frames.front().payload);
}

void DataFolder::replaceFile(const std::string& name, const std::string& content) {
  const std::string fresh = name + kNewSuffix;
  if (files_->exists(fresh)) {
    files_->remove(fresh);
  }
  files_->append(fresh, storage::encodeFrame(kFrameNumber, content));
  files_->sync(fresh);
  files_->rename(fresh, name);
  files_->syncFolder();
}

}  // namespace ferryrock::router_process
