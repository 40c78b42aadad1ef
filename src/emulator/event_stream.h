#pragma once

#include <string>
#include <string_view>

#include "common/result_code.h"
#include "emulator/model/inference_request.h"

namespace ferryrock::emulator {

/// Writes the server-sent events of answers. The parts that don't change within an answer are prepared once.
class EventStream {
 public:
  /// Text of one chunk's event, valid until the next call.
  std::string_view chunk(const InferenceRequestPtr& request, std::uint64_t number, std::string_view text,
                         bool last);
  /// The end event and the closing mark.
  static std::string end(const InferenceRequest& request, std::uint64_t count);
  static std::string error(ResultCode code, const std::string& detail);
  /// Body of a whole answer.
  static std::string whole(const InferenceRequest& request, const std::string& text, std::uint64_t count);

 private:
  void prepare(const InferenceRequestPtr& request);

  InferenceRequestPtr prepared_for_;
  std::string before_number_;
  std::string before_text_;
  std::string_view after_text_;
  std::string event_;
};

}  // namespace ferryrock::emulator
