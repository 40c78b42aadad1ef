#pragma once

#include <string>
#include <string_view>

#include "load/call_record.h"

namespace ferryrock::load {

/// Reads the body of one answer into a call's record: text, ends, errors. Whoever reads a broken body gets
/// what could be read of it and no exception.
class AnswerReader {
 public:
  /// The record must outlive the reader.
  explicit AnswerReader(CallRecord& record) : record_(record) {}

  /// Server-sent events or one JSON body, as the answer's content type says.
  void begin(int status, bool event_stream);
  void add(std::string_view bytes);
  /// The connection ended the body properly.
  void finish();
  /// Pieces of text read so far.
  std::uint64_t pieces() const { return pieces_; }

 private:
  void readEvents();
  void readEvent(std::string_view event);
  void readData(const std::string& data);
  void readBody();

  CallRecord& record_;
  std::string buffer_;
  int status_ = 0;
  bool event_stream_ = false;
  bool failed_ = false;  ///< the answer itself stated an error
  std::uint64_t pieces_ = 0;
};

}  // namespace ferryrock::load
