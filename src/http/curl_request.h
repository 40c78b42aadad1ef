#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

#include "http/connection_table.h"
#include "http/http.h"

namespace ferryrock::http {

/// Initializes libcurl once for the process.
void initializeCurl();

/// One request bound to an easy handle. It is sent at most once, without proxies, redirects or signals.
class CurlRequest {
 public:
  /// connections: holds the sockets of the request's connections and outlives them; nullptr: libcurl does,
  /// and a connection isn't checked before the request is sent. Throws Error Internal.
  explicit CurlRequest(ClientRequest request, ConnectionTable* connections = nullptr);
  CurlRequest(const CurlRequest&) = delete;
  CurlRequest& operator=(const CurlRequest&) = delete;

  CURL* handle() const { return handle_.get(); }
  /// True if the response has no body, whatever its head says.
  bool isHeadRequest() const { return request_.method == "HEAD"; }
  std::size_t maxBodyBytes() const { return request_.max_body_bytes; }
  /// Returns true if the peer's machine refused the last connection attempt.
  bool wasRefused(CURLcode result) const;
  /// True if a response with this head belongs to the request.
  bool acceptsHead(int status, const Headers& headers) const;
  /// Returns how much of the exchange has taken place so far.
  SendProgress progress() const;
  std::string failureReason(CURLcode result) const;
  /// True if the request wasn't sent because the pooled connection chosen for it can't be used any more.
  bool needsFreshConnection() const { return unusable_ && !fresh_; }
  /// Has the request, which was not sent, use a new connection.
  void useFreshConnection();

 private:
  struct HandleDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  };
  struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  static int beforeSend(void* self, char* primary_ip, char* local_ip, int primary_port, int local_port);
  static curl_socket_t openSocket(void* table, curlsocktype purpose, curl_sockaddr* address);
  static int closeSocket(void* table, curl_socket_t socket);
  void setConnectionTable();
  void setMethod();
  void setHeaders();

  ClientRequest request_;
  std::unique_ptr<CURL, HandleDeleter> handle_;
  std::unique_ptr<curl_slist, ListDeleter> header_list_;
  int sends_ = 0;  ///< number of times that libcurl has started to send the request
  bool resend_stopped_ = false;
  ConnectionTable* connections_;
  bool fresh_ = false;     ///< the request uses a new connection
  bool unusable_ = false;  ///< the last send was stopped, since its connection can't be used
  char error_text_[CURL_ERROR_SIZE] = {};
};

}  // namespace ferryrock::http
