#include "http/curl_request.h"

#include <cerrno>
#include <utility>

#include "common/error.h"
#include "http/unresponsive_peer_timeouts.h"

namespace ferryrock::http {

namespace {

int configureSocket(void* /*data*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  return setUnresponsivePeerTimeouts(socket) ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

}  // namespace

void initializeCurl() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (initialized != CURLE_OK) {
    throw Error(ResultCode::Internal, curl_easy_strerror(initialized));
  }
}

CurlRequest::CurlRequest(ClientRequest request, ConnectionTable* connections)
    : request_(std::move(request)), handle_(curl_easy_init()), connections_(connections) {
  if (!handle_) {
    throw Error(ResultCode::Internal, "curl_easy_init failed");
  }
  CURL* curl = handle_.get();
  curl_easy_setopt(curl, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(curl, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");  // also overrides proxies set in the environment
  curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, error_text_);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(toMilliseconds(request_.connect_timeout)));
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(request_.total_timeout)));
  if (!request_.ca_file.empty()) {
    curl_easy_setopt(curl, CURLOPT_CAINFO, request_.ca_file.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_SOCKOPTFUNCTION, &configureSocket);
  curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, &beforeSend);
  curl_easy_setopt(curl, CURLOPT_PREREQDATA, this);
  if (request_.exact_headers) {
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
  }
  if (request_.idle_limit > Duration::zero()) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(request_.idle_limit).count();
    curl_easy_setopt(curl, CURLOPT_MAXAGE_CONN, static_cast<long>(seconds));
  }
  if (request_.fresh_connection) {
    useFreshConnection();
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  }
  setConnectionTable();
  setMethod();
  setHeaders();
}

void CurlRequest::useFreshConnection() {
  curl_easy_setopt(handle_.get(), CURLOPT_FRESH_CONNECT, 1L);
  fresh_ = true;
  unusable_ = false;
}

/// A peer may send on an idle TLS connection, such as session tickets, so only plain ones are checked.
void CurlRequest::setConnectionTable() {
  if (connections_ == nullptr || !request_.url.starts_with("http://")) {
    connections_ = nullptr;
    return;
  }
  CURL* curl = handle_.get();
  curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, &openSocket);
  curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, connections_);
  curl_easy_setopt(curl, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  curl_easy_setopt(curl, CURLOPT_CLOSESOCKETDATA, connections_);
}

curl_socket_t CurlRequest::openSocket(void* table, curlsocktype /*purpose*/, curl_sockaddr* address) {
  return static_cast<ConnectionTable*>(table)->open(address->family, address->socktype, address->protocol);
}

int CurlRequest::closeSocket(void* table, curl_socket_t socket) {
  return static_cast<ConnectionTable*>(table)->close(socket);
}

/// libcurl resends a request automatically if a reused connection breaks before the response. It calls this
/// function before each send, which aborts the second one, and any on a connection that can't be used: bytes
/// that wait there belong to no request.
int CurlRequest::beforeSend(void* self, char* primary_ip, char* local_ip, int primary_port, int local_port) {
  auto& request = *static_cast<CurlRequest*>(self);
  const bool first = request.sends_ == 0;
  if (first && request.connections_ != nullptr) {
    const ConnectionState state =
        request.connections_->stateOf({local_ip, local_port, primary_ip, primary_port});
    request.unusable_ = state != ConnectionState::Usable;
    if (request.unusable_) {
      return CURL_PREREQFUNC_ABORT;
    }
  }
  ++request.sends_;
  if (request.sends_ > 1) {
    request.resend_stopped_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  return CURL_PREREQFUNC_OK;
}

void CurlRequest::setMethod() {
  CURL* curl = handle_.get();
  if (request_.method == "HEAD") {
    curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
    return;
  }
  if (request_.method != "GET" || !request_.body.empty()) {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
  if (request_.method == "POST" || request_.method == "PUT" || !request_.body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POST, 1L);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request_.body.data());
  }
}

void CurlRequest::setHeaders() {
  bool content_type = false;
  const auto append = [this](const std::string& line) {
    curl_slist* list = curl_slist_append(header_list_.get(), line.c_str());
    if (list == nullptr) {
      throw Error(ResultCode::Internal, "out of memory");
    }
    [[maybe_unused]] curl_slist* previous = header_list_.release();
    header_list_.reset(list);
  };
  for (const Header& header : request_.headers) {
    append(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    content_type = content_type || findHeader({header}, "Content-Type").has_value();
  }
  append("Expect:");  // avoids the wait for 100 Continue before the body
  if (request_.exact_headers) {
    if (!findHeader(request_.headers, "Accept")) {
      append("Accept:");
    }
    if (!content_type) {
      append("Content-Type:");
    }
  } else if (!content_type && !request_.body.empty()) {
    append("Content-Type: application/json");
  }
  curl_easy_setopt(handle_.get(), CURLOPT_HTTPHEADER, header_list_.get());
}

bool CurlRequest::acceptsHead(int status, const Headers& headers) const {
  return !request_.accepts_head || request_.accepts_head(status, headers);
}

bool CurlRequest::wasRefused(CURLcode result) const {
  long system_error = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_OS_ERRNO, &system_error);
  return result == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED;
}

/// libcurl's count of sent bytes is no proof: it leaves out those that follow a first write without room.
SendProgress CurlRequest::progress() const {
  long status = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
  if (status != 0) {
    return SendProgress::ResponseStarted;
  }
  return sends_ == 0 ? SendProgress::NotSent : SendProgress::MaybeSent;
}

std::string CurlRequest::failureReason(CURLcode result) const {
  if (unusable_) {
    return "the peer closed the connection, or wrote to it, before the request was sent";
  }
  if (resend_stopped_) {
    return "the reused connection was closed before the response";
  }
  return error_text_[0] != '\0' ? error_text_ : curl_easy_strerror(result);
}

}  // namespace ferryrock::http
