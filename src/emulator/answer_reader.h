#pragma once

#include <string>
#include <string_view>

#include "emulator/event_stream.h"
#include "emulator/model/engine_effects.h"
#include "http/http.h"

namespace ferryrock::emulator {

/// The connection that one answer is written to, as a stream or as a whole.
class AnswerReader {
 public:
  AnswerReader(http::ResponseWriterPtr writer, bool stream) : writer_(std::move(writer)), stream_(stream) {}

  void admitted(const LoadReport& load);
  void refused(const RefusedEffect& refusal);
  void chunk(const ChunkEffect& chunk);
  void end(const EndEffect& end);
  void failed(const FailedEffect& failure);
  void cut() { writer_->abort(); }

 private:
  http::ResponseWriterPtr writer_;
  bool stream_;
  http::Headers headers_;
  EventStream events_;
  std::string collected_;
};

}  // namespace ferryrock::emulator
