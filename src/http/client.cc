#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "common/error.h"
#include "http/curl_request.h"
#include "http/http.h"
#include "http/response_reader.h"

namespace ferryrock::http {
namespace {

/// Two connections per engine of a cell with 4,000 engines; beyond this bound each further call would open a
/// new connection.
constexpr long kMaxIdleConnections = 8192;

/// libcurl may read from many connections before it returns; each stops when this much waits for its call's
/// callback.
constexpr std::size_t kMaxUndeliveredBytes = std::size_t{64} << 10;

class CurlClient;

/// State of one request. libcurl's callbacks only collect data here; the client invokes the user callbacks
/// after libcurl has returned, so that these may start, pause and destroy calls.
struct CallState : std::enable_shared_from_this<CallState> {
  CallState(ClientRequest client_request, ClientCallbacks client_callbacks, ConnectionTable& connections)
      : transfer(std::move(client_request), &connections),
        callbacks(std::move(client_callbacks)),
        response(transfer.isHeadRequest(), transfer.maxBodyBytes()) {}

  CurlRequest transfer;
  ClientCallbacks callbacks;
  CurlClient* client = nullptr;  ///< null once the transfer has ended or was cancelled
  ResponseReader response;
  std::string data;
  bool headers_delivered = false;
  bool paused = false;
  bool held = false;  ///< libcurl stopped reading until the data is delivered
  bool queued_for_delivery = false;
  bool ended = false;
  bool foreign = false;  ///< the response doesn't belong to the request and was given up
  CURLcode result = CURLE_OK;
};
using CallPtr = std::shared_ptr<CallState>;

class CurlClient : public Client {
 public:
  explicit CurlClient(event::Dispatcher& dispatcher) : dispatcher_(dispatcher), multi_(curl_multi_init()) {
    if (multi_ == nullptr) {
      throw Error(ResultCode::Internal, "curl_multi_init failed");
    }
    timer_ = dispatcher_.createTimer([this] { onTimeout(); });
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~CurlClient() override {
    *alive_ = false;
    const std::unordered_set<CallPtr> calls = std::exchange(calls_, {});
    for (const CallPtr& call : calls) {
      call->client = nullptr;
      curl_multi_remove_handle(multi_, call->transfer.handle());
    }
    curl_multi_cleanup(multi_);
  }

  std::unique_ptr<ClientCall> send(ClientRequest request, ClientCallbacks callbacks) override;

  void cancel(const CallPtr& call) {
    curl_multi_remove_handle(multi_, call->transfer.handle());
    call->client = nullptr;
    calls_.erase(call);
  }

  void setPaused(const CallPtr& call, bool paused) {
    if (call->paused == paused) {
      return;
    }
    call->paused = paused;
    if (!paused) {
      readOn(call);
    }
  }

  /// Has libcurl go on reading after a pause.
  void readOn(const CallPtr& call) {
    call->held = false;
    if (!call->ended) {
      curl_easy_pause(call->transfer.handle(), CURLPAUSE_CONT);
    }
    queueForDelivery(call);
    scheduleDelivery();
  }

 private:
  /// libcurl's callbacks for received bytes; their context is the CallState.
  static std::size_t onHeader(char* bytes, std::size_t size, std::size_t count, void* context);
  static std::size_t onBody(char* bytes, std::size_t size, std::size_t count, void* context);

  static int onSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* self, void* /*assigned*/) {
    static_cast<CurlClient*>(self)->watchSocket(socket, what);
    return 0;
  }

  void watchSocket(curl_socket_t socket, int what) {
    if (what == CURL_POLL_REMOVE) {
      sockets_.erase(socket);
      return;
    }
    const unsigned events = ((what & CURL_POLL_IN) != 0 ? event::kReadable : 0U) |
                            ((what & CURL_POLL_OUT) != 0 ? event::kWritable : 0U);
    const auto found = sockets_.find(socket);
    if (found != sockets_.end()) {
      found->second->setEvents(events);
      return;
    }
    sockets_.emplace(socket, dispatcher_.watchFile(socket, events, [this, socket](unsigned ready) {
      const int flags = ((ready & event::kReadable) != 0 ? CURL_CSELECT_IN : 0) |
                        ((ready & event::kWritable) != 0 ? CURL_CSELECT_OUT : 0);
      act(socket, flags);
    }));
  }

  static int onTimer(CURLM* /*multi*/, long milliseconds, void* self) {
    static_cast<CurlClient*>(self)->setTimer(milliseconds);
    return 0;
  }

  void setTimer(long milliseconds) {
    if (milliseconds == 0) {
      scheduleTimeout();
    } else if (milliseconds > 0) {
      timer_->enable(std::chrono::milliseconds(milliseconds));
    } else {
      timer_->disable();
    }
  }

  void scheduleTimeout() {
    if (!timeout_scheduled_) {
      timeout_scheduled_ = true;
      post([this] {
        timeout_scheduled_ = false;
        onTimeout();
      });
    }
  }

  void onTimeout() { act(CURL_SOCKET_TIMEOUT, 0); }

  void act(curl_socket_t socket, int flags) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, flags, &running);
    collectEnded();
    deliver();
  }

  void collectEnded() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode result = message->data.result;
      char* context = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &context);
      CallState& call = *reinterpret_cast<CallState*>(context);
      if (call.transfer.needsFreshConnection()) {
        sendOnFreshConnection(call);
        continue;
      }
      call.ended = true;
      call.result = result;
      queueForDelivery(call.shared_from_this());
    }
  }

  void sendOnFreshConnection(CallState& call) {
    CURL* handle = call.transfer.handle();
    curl_multi_remove_handle(multi_, handle);
    call.transfer.useFreshConnection();
    if (curl_multi_add_handle(multi_, handle) != CURLM_OK) {
      call.ended = true;
      call.result = CURLE_OUT_OF_MEMORY;
      queueForDelivery(call.shared_from_this());
    }
  }

  void queueForDelivery(const CallPtr& call) {
    if (!call->queued_for_delivery) {
      call->queued_for_delivery = true;
      delivery_queue_.push_back(call);
    }
  }

  void scheduleDelivery() {
    if (!delivery_scheduled_) {
      delivery_scheduled_ = true;
      post([this] {
        delivery_scheduled_ = false;
        deliver();
      });
    }
  }

  void post(event::Callback callback) {
    dispatcher_.post([alive = alive_, callback = std::move(callback)] {
      if (*alive) {
        callback();
      }
    });
  }

  /// Invokes user callbacks, which may destroy calls and the client.
  void deliver() {
    const std::shared_ptr<bool> alive = alive_;
    const std::vector<CallPtr> batch = std::exchange(delivery_queue_, {});
    for (const CallPtr& call : batch) {
      call->queued_for_delivery = false;
    }
    for (const CallPtr& call : batch) {
      deliverTo(call);
      if (!*alive) {
        return;
      }
    }
  }

  static void deliverTo(const CallPtr& call);
  static void deliverEnd(const CallPtr& call);

  event::Dispatcher& dispatcher_;
  ConnectionTable connections_;
  CURLM* multi_;
  std::unique_ptr<event::Timer> timer_;
  std::unordered_map<curl_socket_t, std::unique_ptr<event::FileWatch>> sockets_;
  std::unordered_set<CallPtr> calls_;
  std::vector<CallPtr> delivery_queue_;
  bool timeout_scheduled_ = false;
  bool delivery_scheduled_ = false;
  /// Set to false on destruction, for posted callbacks that outlive the client.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class CurlCall : public ClientCall {
 public:
  explicit CurlCall(CallPtr state) : state_(std::move(state)) {}
  ~CurlCall() override {
    state_->callbacks = {};
    if (state_->client != nullptr) {
      state_->client->cancel(state_);
    }
  }
  void pauseReading() override {
    if (state_->client != nullptr) {
      state_->client->setPaused(state_, true);
    }
  }
  void resumeReading() override {
    if (state_->client != nullptr) {
      state_->client->setPaused(state_, false);
    }
  }

 private:
  CallPtr state_;
};

std::unique_ptr<ClientCall> CurlClient::send(ClientRequest request, ClientCallbacks callbacks) {
  const auto call = std::make_shared<CallState>(std::move(request), std::move(callbacks), connections_);
  call->client = this;
  CURL* handle = call->transfer.handle();
  curl_easy_setopt(handle, CURLOPT_PRIVATE, call.get());
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, call.get());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, call.get());
  calls_.insert(call);
  const CURLMcode added = curl_multi_add_handle(multi_, handle);
  if (added != CURLM_OK) {
    calls_.erase(call);
    throw Error(ResultCode::Internal, curl_multi_strerror(added));
  }
  return std::make_unique<CurlCall>(call);
}

std::size_t CurlClient::onHeader(char* bytes, std::size_t size, std::size_t count, void* context) {
  constexpr std::size_t kAbort = 0;
  CallState& call = *static_cast<CallState*>(context);
  const bool is_trailer = call.response.head().complete();
  if (!call.response.addLine(std::string_view(bytes, size * count))) {
    return kAbort;
  }
  const ResponseHead& head = call.response.head();
  if (is_trailer || !head.complete()) {
    return size * count;
  }
  call.client->queueForDelivery(call.shared_from_this());
  call.foreign = !call.transfer.acceptsHead(head.status(), head.headers());
  return call.foreign ? kAbort : size * count;
}

std::size_t CurlClient::onBody(char* bytes, std::size_t size, std::size_t count, void* context) {
  constexpr std::size_t kAbort = 0;
  CallState& call = *static_cast<CallState*>(context);
  if (call.paused) {
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!call.data.empty() && call.data.size() + size * count > kMaxUndeliveredBytes) {
    call.held = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (!call.response.addBody(size * count)) {
    return kAbort;
  }
  call.data.append(bytes, size * count);
  call.client->queueForDelivery(call.shared_from_this());
  return size * count;
}

void CurlClient::deliverTo(const CallPtr& call) {
  const auto notCancelled = [&call] { return call->client != nullptr; };
  const ResponseHead& head = call->response.head();
  if (notCancelled() && head.complete() && !call->headers_delivered) {
    call->headers_delivered = true;
    const auto on_headers = call->callbacks.on_headers;
    if (on_headers) {
      on_headers(head.status(), head.headers());
    }
  }
  if (notCancelled() && !call->paused && !call->data.empty()) {
    const std::string data = std::exchange(call->data, {});
    const auto on_data = call->callbacks.on_data;
    if (on_data) {
      on_data(data);
    }
  }
  if (notCancelled() && !call->paused && call->held) {
    call->client->readOn(call);
  }
  if (notCancelled() && !call->paused && call->ended) {
    deliverEnd(call);
  }
}

void CurlClient::deliverEnd(const CallPtr& call) {
  const ClientCallbacks callbacks = std::exchange(call->callbacks, {});
  const SendProgress progress = call->transfer.progress();
  const bool refused = call->transfer.wasRefused(call->result);
  if (call->result == CURLE_OK) {
    call->response.end();
  }
  const std::string& fault = call->response.fault();
  std::string reason = fault.empty() ? call->transfer.failureReason(call->result) : fault;
  if (call->foreign) {
    reason = "the response doesn't belong to the request";
  }
  const bool whole = call->result == CURLE_OK && fault.empty();
  call->client->cancel(call);
  if (whole) {
    if (callbacks.on_complete) {
      callbacks.on_complete();
    }
    return;
  }
  if (refused && callbacks.on_refused) {
    callbacks.on_refused();
  }
  if (callbacks.on_failure) {
    callbacks.on_failure(progress, reason);
  }
}

}  // namespace

std::unique_ptr<Client> createClient(event::Dispatcher& dispatcher) {
  initializeCurl();
  return std::make_unique<CurlClient>(dispatcher);
}

}  // namespace ferryrock::http
