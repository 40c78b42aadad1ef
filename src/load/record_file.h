#pragma once

#include <string>

namespace ferryrock::load {

/// A file of records that is written line by line. What sync() covered outlives the machine.
class RecordFile {
 public:
  /// Throws Error UnreadableFile.
  explicit RecordFile(const std::string& file);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  /// Hands a line to the system at once. Throws Error StorageFailed.
  void append(const std::string& line);
  /// Throws Error StorageFailed.
  void sync();

 private:
  std::string file_;
  int descriptor_;
};

}  // namespace ferryrock::load
