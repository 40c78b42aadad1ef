#include <curl/curl.h>

#include <utility>

#include "common/error.h"
#include "http/curl_request.h"
#include "http/http.h"

namespace ferryrock::http {
namespace {

struct Collected {
  ClientResponse response;
  bool headers_complete = false;
};

std::size_t onHeader(char* bytes, std::size_t size, std::size_t count, void* context) {
  auto& collected = *static_cast<Collected*>(context);
  collected.headers_complete =
      addHeaderLine(collected.response.headers, std::string_view(bytes, size * count));
  return size * count;
}

std::size_t onBody(char* bytes, std::size_t size, std::size_t count, void* context) {
  static_cast<Collected*>(context)->response.body.append(bytes, size * count);
  return size * count;
}

}  // namespace

ClientResponse blockingCall(const ClientRequest& request) {
  initializeCurl();
  const CurlRequest call(request);
  Collected collected;
  curl_easy_setopt(call.handle(), CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(call.handle(), CURLOPT_HEADERDATA, &collected);
  curl_easy_setopt(call.handle(), CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(call.handle(), CURLOPT_WRITEDATA, &collected);
  const CURLcode result = curl_easy_perform(call.handle());
  if (result != CURLE_OK) {
    throw Error(ResultCode::PeerUnreachable, "'" + request.url + "': " + call.failureReason(result));
  }
  // libcurl reports success if a connection ends within the headers.
  if (!collected.headers_complete) {
    throw Error(ResultCode::PeerUnreachable,
                "'" + request.url + "': the connection was closed within the response headers");
  }
  collected.response.status = static_cast<int>(call.status());
  return std::move(collected.response);
}

}  // namespace ferryrock::http
