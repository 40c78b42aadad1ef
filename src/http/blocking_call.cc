#include <curl/curl.h>

#include <utility>

#include "common/error.h"
#include "http/curl_request.h"
#include "http/http.h"
#include "http/response_reader.h"

namespace ferryrock::http {
namespace {

struct Collected {
  ResponseReader reader;
  std::string body;
};

std::size_t onHeader(char* bytes, std::size_t size, std::size_t count, void* context) {
  constexpr std::size_t kAbort = 0;
  auto& collected = *static_cast<Collected*>(context);
  return collected.reader.addLine(std::string_view(bytes, size * count)) ? size * count : kAbort;
}

std::size_t onBody(char* bytes, std::size_t size, std::size_t count, void* context) {
  constexpr std::size_t kAbort = 0;
  auto& collected = *static_cast<Collected*>(context);
  if (!collected.reader.addBody(size * count)) {
    return kAbort;
  }
  collected.body.append(bytes, size * count);
  return size * count;
}

}  // namespace

ClientResponse blockingCall(const ClientRequest& request) {
  initializeCurl();
  const CurlRequest call(request);
  Collected collected{ResponseReader(call.isHeadRequest(), call.maxBodyBytes()), ""};
  curl_easy_setopt(call.handle(), CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(call.handle(), CURLOPT_HEADERDATA, &collected);
  curl_easy_setopt(call.handle(), CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(call.handle(), CURLOPT_WRITEDATA, &collected);
  const CURLcode result = curl_easy_perform(call.handle());
  if (result == CURLE_OK) {
    collected.reader.end();
  }
  const std::string& fault = collected.reader.fault();
  if (result != CURLE_OK || !fault.empty()) {
    throw Error(ResultCode::PeerUnreachable,
                "'" + request.url + "': " + (fault.empty() ? call.failureReason(result) : fault));
  }
  const ResponseHead& head = collected.reader.head();
  return {head.status(), head.headers(), std::move(collected.body)};
}

}  // namespace ferryrock::http
