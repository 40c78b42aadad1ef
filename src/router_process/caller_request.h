#pragma once

#include <cstdint>
#include <string_view>

#include "http/http.h"
#include "router/router_node.h"

/// Reads callers' requests, in the form that OpenAI clients send.
namespace ferryrock::router_process {

/// Shape of a request and its answers.
enum class CompletionForm : std::uint8_t { Chat, Text };

/// A request whose form was checked. What its answer looks like stays here; the router gets the rest.
struct ParsedRequest {
  router::CallerRequest request;
  CompletionForm form = CompletionForm::Chat;
  bool include_usage = false;  ///< a stream ends with the counts of tokens
};

/// Checks body and headers. Throws Error MalformedBody, InvalidField or InvalidHeader, whose place names the
/// field or header.
ParsedRequest parseCallerRequest(http::Request request, CompletionForm form, RequestId id);

}  // namespace ferryrock::router_process
