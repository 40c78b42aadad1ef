#include "emulator/answer_reader.h"

#include "emulator/http_answers.h"
#include "http/error_body.h"

namespace ferryrock::emulator {

void AnswerReader::admitted(const LoadReport& load) {
  headers_ = {{"X-Engine-Admitted", "true"},
              {"X-Engine-Running", std::to_string(load.running)},
              {"X-Engine-Waiting", std::to_string(load.waiting)}};
  if (stream_) {
    headers_.push_back({"Content-Type", "text/event-stream"});
    headers_.push_back({"Cache-Control", "no-store"});
    writer_->start(kStatusOk, headers_);
  }
}

void AnswerReader::refused(const RefusedEffect& refusal) {
  http::Headers headers = jsonHeaders();
  if (refusal.admitted) {
    headers.push_back({"X-Engine-Admitted", *refusal.admitted ? "true" : "false"});
  }
  writer_->respond(refusal.status, headers, http::errorBody(refusal.code, refusal.detail));
}

void AnswerReader::chunk(const ChunkEffect& chunk) {
  if (stream_) {
    writer_->write(events_.chunk(chunk.request, chunk.number, chunk.text, chunk.last));
  } else {
    collected_ += chunk.text;
  }
}

void AnswerReader::end(const EndEffect& end) {
  if (stream_) {
    writer_->write(EventStream::end(*end.request, end.count));
    writer_->finish();
    return;
  }
  headers_.push_back({"Content-Type", "application/json"});
  writer_->respond(kStatusOk, headers_, EventStream::whole(*end.request, collected_, end.count));
}

void AnswerReader::failed(const FailedEffect& failure) {
  if (stream_) {
    writer_->write(EventStream::error(failure.code, failure.detail));
    writer_->finish();
    return;
  }
  headers_.push_back({"Content-Type", "application/json"});
  constexpr int kInternalServerError = 500;
  writer_->respond(kInternalServerError, headers_, http::errorBody(failure.code, failure.detail));
}

}  // namespace ferryrock::emulator
