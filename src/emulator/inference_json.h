#pragma once

#include "emulator/model/inference_request.h"
#include "http/http.h"

namespace ferryrock::emulator {

struct ParsedInference {
  InferenceRequestPtr request;
  bool stream = false;
};

/// Reads an inference request's body and headers. fallback names the attempt if the caller didn't. max_tokens
/// bounds the length of an answer. Throws Error MalformedBody, InvalidField or InvalidHeader.
ParsedInference parseInference(const http::Request& request, AnswerForm form, const AttemptId& fallback,
                               std::uint64_t max_tokens);

/// An attempt's identifier from a path or header: 1 to 200 letters, digits and "-_.:/". Throws Error
/// InvalidHeader.
AttemptId parseAttemptId(const std::string& text);

}  // namespace ferryrock::emulator
