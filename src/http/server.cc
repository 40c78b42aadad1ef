#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <unordered_set>
#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "http/error_body.h"
#include "http/exchange.h"
#include "http/http.h"
#include "http/listen_socket.h"

namespace ferryrock::http {
namespace {

constexpr int kMaxRoundsPerRun = 16;
/// A body over the limit is read and discarded up to this size, so that its sender receives the error
/// response instead of a reset.
constexpr std::size_t kMaxDiscardedBytes = 64 << 20;
/// Bodies up to this size use memory that isn't available to larger ones.
constexpr std::size_t kSmallBodyBytes = std::size_t{64} << 10;
/// Clients that were refused for want of memory come back after 1 to this many seconds, in turn.
constexpr int kMaxRetrySeconds = 3;
/// Evicted connections that libmicrohttpd hasn't closed yet; with more, it accepts none until it has.
constexpr std::size_t kMaxClosingConnections = 32;
/// A connection that has had no answer yet counts as idle for this many times as long.
constexpr double kUnservedWeight = 10;
/// An unread answer costs this much of what an unfinished request of its size and age does: a replica ran it.
constexpr double kAnswerWeight = 0.25;

const Logger kLog("http");

std::string readWholeFile(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  std::ostringstream content;
  if (!input || !(content << input.rdbuf())) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be read or is empty", file);
  }
  return content.str();
}

bool hasUnreadBytes(int socket) {
  char byte = 0;
  return ::recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

MHD_Result appendHeader(void* context, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  static_cast<Headers*>(context)->push_back(Header{key, value == nullptr ? "" : value});
  return MHD_YES;
}

/// State of one connection from accept to close.
struct Connection {
  MHD_Connection* handle = nullptr;
  std::unique_ptr<event::FileWatch> close_watch;
  std::weak_ptr<Exchange> current;
  bool served = false;  ///< a request on it was answered
  bool peer_closed = false;
  bool reading_ended = false;  ///< by this server; a request that came before is answered
  std::string target;          ///< target of the request that is being read
  TimePoint last_used{};       ///< when it was accepted, or when its last response ended
};

class MicrohttpdServer : public Server, public ExchangeOwner, public EvictionSource {
 public:
  MicrohttpdServer(event::Dispatcher& dispatcher, ServerSettings settings, RequestHandler handler)
      : dispatcher_(dispatcher), settings_(std::move(settings)), handler_(std::move(handler)) {
    if (!settings_.budget) {
      settings_.budget = std::make_shared<ClientBudget>(defaultClientLimits());
    }
    loadCertificate();
    const ListenSocket socket = openListenSocket(settings_.address, settings_.port, settings_.reuse_port);
    port_ = socket.port;
    startDaemon(socket.descriptor);
    timeout_ = dispatcher_.createTimer([this] { run(); });
    idle_check_ = dispatcher_.createTimer([this] { closeIdleConnections(); });
    const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    watch_ = dispatcher_.watchFile(info->epoll_fd, event::kReadable, [this](unsigned) { run(); });
    settings_.budget->addSource(*this);
  }

  ~MicrohttpdServer() override {
    *alive_ = false;
    settings_.budget->removeSource(*this);
    watch_.reset();
    for (const std::shared_ptr<Exchange>& exchange : std::vector(exchanges_.begin(), exchanges_.end())) {
      exchange->ownerDestroyed();
    }
    closeListener();
    MHD_stop_daemon(daemon_);
  }

  std::uint16_t port() const override { return port_; }

  void stopListening() override {
    if (closing_) {
      return;
    }
    run();  // accepts connections that are already established
    closeListener();
  }

  void closeAfterResponses() override { close_after_responses_ = true; }

  /// A timeout of libmicrohttpd ends a connection even if a request has arrived on it since the last run.
  /// Where nothing has, an end of the receiving side has it close the connection.
  void closeIdleConnections() override {
    constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
    run();
    for (Connection* connection : connections_) {
      if (isIdle(*connection) && !hasUnreadBytes(socketOf(*connection))) {
        endReading(*connection);
      }
    }
    run();
    idle_check_->enable(kCheckInterval);
  }

  std::size_t openConnections() const override {
    return MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
  }

  std::size_t openRequests() const override { return exchanges_.size(); }

  std::optional<EvictionCandidate> requestToEvict() override {
    std::shared_ptr<Exchange> first;
    double highest = -1;
    const TimePoint time = now();
    for (const std::shared_ptr<Exchange>& exchange : exchanges_) {
      const double cost = costOf(*exchange, time);
      if (cost > highest) {
        first = exchange;
        highest = cost;
      }
    }
    if (first == nullptr) {
      return std::nullopt;
    }
    return EvictionCandidate{highest, [first] {
                               if (first->answering()) {
                                 first->evictAnswer();
                               } else {
                                 first->refuse(ResultCode::MemoryFull);
                               }
                             }};
  }

  std::optional<EvictionCandidate> connectionToEvict() override {
    Connection* first = nullptr;
    double highest = 0;
    const TimePoint time = now();
    for (Connection* connection : connections_) {
      const std::shared_ptr<Exchange> exchange = connection->current.lock();
      const bool in_service = exchange && exchange->answering();
      const double cost = seconds(time - connection->last_used) * (connection->served ? 1 : kUnservedWeight);
      if (!in_service && !connection->reading_ended && cost >= highest) {
        first = connection;
        highest = cost;
      }
    }
    if (first == nullptr) {
      return std::nullopt;
    }
    return EvictionCandidate{highest, [first] { endReading(*first); }};
  }

 private:
  void loadCertificate() {
    if (settings_.tls_certificate_file.empty() != settings_.tls_key_file.empty()) {
      throw Error(ResultCode::MissingSetting, "TLS needs both a certificate and a key file");
    }
    if (!settings_.tls_certificate_file.empty()) {
      certificate_ = readWholeFile(settings_.tls_certificate_file);
      key_ = readWholeFile(settings_.tls_key_file);
    }
  }

  /// Returns a negative cost if nothing is kept that could be evicted.
  static double costOf(const Exchange& exchange, TimePoint time) {
    constexpr double kNothing = -1;
    const bool answering = exchange.answering();
    const std::size_t bytes = answering ? exchange.unreadBytes() : exchange.memory->bytes();
    const TimePoint since = answering ? exchange.answerBegan() : exchange.began;
    const double cost = static_cast<double>(bytes) * seconds(time - since);
    return bytes == 0 ? kNothing : cost * (answering ? kAnswerWeight : 1);
  }

  static int socketOf(const Connection& connection) {
    return MHD_get_connection_info(connection.handle, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  }

  /// Has libmicrohttpd close a connection on which no request is in service.
  static void endReading(Connection& connection) {
    connection.reading_ended = true;
    ::shutdown(socketOf(connection), SHUT_RD);
  }

  /// True if no request was in flight lately and none has arrived in part.
  bool isIdle(const Connection& connection) const {
    constexpr Duration kQuietTime = std::chrono::seconds(1);
    return connection.current.expired() && connection.target.empty() &&
           now() - connection.last_used >= kQuietTime;
  }

  void closeListener() {
    if (closing_) {
      return;
    }
    closing_ = true;
    const MHD_socket listener = MHD_quiesce_daemon(daemon_);
    if (listener != MHD_INVALID_SOCKET) {
      ::close(listener);
    }
  }

  void startDaemon(int listener) {
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    std::vector<MHD_OptionItem> options = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&onCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(&onTarget), this},
        {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(&onConnection), this},
        {MHD_OPTION_LISTEN_SOCKET, listener, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<std::intptr_t>(settings_.budget->limits().connections + kMaxClosingConnections),
         nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         std::chrono::ceil<std::chrono::seconds>(settings_.idle_timeout).count(), nullptr},
        {MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1, nullptr},
    };
    if (!certificate_.empty()) {
      flags |= MHD_USE_TLS;
      options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, certificate_.data()});
      options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, key_.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    daemon_ = MHD_start_daemon(flags, 0, &onAccept, this, &onAccess, this, MHD_OPTION_ARRAY, options.data(),
                               MHD_OPTION_END);
    if (daemon_ == nullptr) {
      ::close(listener);
      throw Error(ResultCode::AddressInUse, "the HTTP server can't start; check the certificate and its key");
    }
  }

  void scheduleRun() override {
    if (!run_scheduled_) {
      run_scheduled_ = true;
      post([this] {
        run_scheduled_ = false;
        run();
      });
    }
  }

  void post(event::Callback callback) override {
    dispatcher_.post([alive = alive_, callback = std::move(callback)] {
      if (*alive) {
        callback();
      }
    });
  }

  bool closing() const override { return closing_ || close_after_responses_; }

  TimePoint now() const override { return dispatcher_.timeSource().monotonicTime(); }

  /// Runs libmicrohttpd until it has no immediate work left, for a bounded number of rounds so that other
  /// callbacks of the loop aren't starved.
  void run() {
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    bool has_timeout = false;
    int rounds = 0;
    do {
      MHD_run(daemon_);
      has_timeout = MHD_get_timeout(daemon_, &milliseconds) == MHD_YES;
    } while (has_timeout && milliseconds == 0 && ++rounds < kMaxRoundsPerRun);
    if (has_timeout && milliseconds == 0) {
      scheduleRun();
    } else if (has_timeout) {
      armTimeout(std::chrono::milliseconds(milliseconds));
    }
  }

  /// Each run may postpone the idle timeout, so an earlier armed timer isn't re-armed; run() re-arms it after
  /// it has fired.
  void armTimeout(Duration delay) {
    const TimePoint time = now();
    if (armed_until_ <= time || time + delay < armed_until_) {
      armed_until_ = time + delay;
      timeout_->enable(delay);
    }
  }

  /// Returns MHD_NO to close an accepted connection at once, before anything is read.
  static MHD_Result onAccept(void* self, const sockaddr* /*address*/, socklen_t /*length*/) {
    return static_cast<MicrohttpdServer*>(self)->settings_.budget->makeRoomForConnection() ? MHD_YES : MHD_NO;
  }

  static void onConnection(void* self, MHD_Connection* connection, void** context,
                           MHD_ConnectionNotificationCode code) {
    auto& server = *static_cast<MicrohttpdServer*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      *context = server.openConnection(connection).release();
    } else {
      const std::unique_ptr<Connection> closed(static_cast<Connection*>(std::exchange(*context, nullptr)));
      server.connections_.erase(closed.get());
      server.settings_.budget->connectionClosed();
    }
  }

  static Connection& stateOf(MHD_Connection* connection) {
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<Connection*>(info->socket_context);
  }

  /// Stores the request target as received. The return value becomes the request's context, which is
  /// initially null.
  static void* onTarget(void* /*self*/, const char* target, MHD_Connection* connection) {
    stateOf(connection).target = target;
    return nullptr;
  }

  std::unique_ptr<Connection> openConnection(MHD_Connection* connection) {
    auto opened = std::make_unique<Connection>();
    opened->handle = connection;
    opened->last_used = now();
    connections_.insert(opened.get());
    settings_.budget->connectionOpened();
    const int descriptor = socketOf(*opened);
    opened->close_watch = dispatcher_.watchFile(
        descriptor, event::kPeerClosed, [this, descriptor, state = opened.get()](unsigned) {
          state->close_watch->setEvents(0);
          state->peer_closed = !state->reading_ended;
          const std::shared_ptr<Exchange> exchange = state->current.lock();
          if (exchange && exchange->answering() && state->peer_closed) {
            exchange->peerClosed();
          } else {
            readToEnd(descriptor);
          }
        });
    return opened;
  }

  /// libmicrohttpd uses edge-triggered events and misses an end of stream that arrives together with the last
  /// bytes. After these are read, shutting down the receiving side raises another event.
  void readToEnd(int descriptor) {
    // run() may close the connection, after which its descriptor may be reused: a duplicate keeps the socket.
    const int socket = ::dup(descriptor);
    run();
    ::shutdown(socket, SHUT_RD);
    ::close(socket);
  }

  static MHD_Result onAccess(void* self, MHD_Connection* connection, const char* url, const char* method,
                             const char* version, const char* upload, std::size_t* upload_size,
                             void** context) {
    auto& server = *static_cast<MicrohttpdServer*>(self);
    if (*context == nullptr) {
      auto exchange = server.beginRequest(connection, url, method, version);
      *context = new std::shared_ptr<Exchange>(exchange);
      return server.checkAnnouncedBody(*exchange);
    }
    Exchange& exchange = **static_cast<std::shared_ptr<Exchange>*>(*context);
    if (exchange.answering()) {
      return exchange.continueConnection();
    }
    if (*upload_size > 0) {
      return server.appendBody(exchange, std::string_view(upload, std::exchange(*upload_size, 0)));
    }
    return server.answer(exchange, connection);
  }

  std::shared_ptr<Exchange> beginRequest(MHD_Connection* connection, const char* url, const char* method,
                                         const char* version) {
    const bool chunked_responses = std::string_view(version) != MHD_HTTP_VERSION_1_0;
    auto exchange = std::make_shared<Exchange>(*this, connection, chunked_responses, settings_.budget);
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &appendHeader, &exchange->request.query);
    exchanges_.insert(exchange);
    Connection& state = stateOf(connection);
    exchange->request.target = std::move(state.target);
    state.current = exchange;
    if (!exchange->memory->resize(headBytes(exchange->request), MemoryUse::Small)) {
      exchange->refuse(ResultCode::MemoryFull);
    }
    return exchange;
  }

  static std::size_t headBytes(const Request& request) {
    std::size_t bytes = 2 * request.target.size() + request.method.size();
    for (const Headers& fields : {std::cref(request.headers), std::cref(request.query)}) {
      for (const Header& field : fields) {
        bytes += sizeof(Header) + field.name.size() + field.value.size();
      }
    }
    return bytes;
  }

  /// Rejects a body whose Content-Length exceeds the limit before it is read, if the peer waits for 100
  /// Continue or if the body is larger than the server would discard.
  MHD_Result checkAnnouncedBody(Exchange& exchange) {
    const auto length = findHeader(exchange.request.headers, MHD_HTTP_HEADER_CONTENT_LENGTH);
    const std::uint64_t announced = length ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    if (announced <= settings_.max_body_bytes) {
      return MHD_YES;
    }
    exchange.refuse(ResultCode::BodyTooLarge);
    const bool expects_continue = findHeader(exchange.request.headers, MHD_HTTP_HEADER_EXPECT).has_value();
    if (!expects_continue && announced <= kMaxDiscardedBytes) {
      return MHD_YES;
    }
    exchange.beginAnswering();
    respondRefusal(exchange);
    return exchange.continueConnection();
  }

  MHD_Result appendBody(Exchange& exchange, std::string_view bytes) {
    const std::size_t size = exchange.received.size() + bytes.size();
    if (!exchange.refusal && size > settings_.max_body_bytes) {
      exchange.refuse(ResultCode::BodyTooLarge);
    }
    if (!exchange.refusal && takeBodyMemory(exchange, bytes.size(), size)) {
      exchange.received.append(bytes);
      return MHD_YES;
    }
    exchange.discarded_bytes += bytes.size();
    return exchange.discarded_bytes <= kMaxDiscardedBytes ? MHD_YES : MHD_NO;
  }

  /// Returns false if the request is refused, for want of memory or since it was evicted itself.
  static bool takeBodyMemory(Exchange& exchange, std::size_t more, std::size_t body_size) {
    const MemoryUse use = body_size > kSmallBodyBytes ? MemoryUse::Body : MemoryUse::Small;
    if (!exchange.memory->resize(exchange.memory->bytes() + more, use) || exchange.refusal) {
      exchange.refuse(ResultCode::MemoryFull);
    }
    return !exchange.refusal;
  }

  MHD_Result answer(Exchange& exchange, MHD_Connection* connection) {
    exchange.beginAnswering();
    if (exchange.refusal) {
      respondRefusal(exchange);
      return exchange.continueConnection();
    }
    exchange.request.body = exchange.received.take();
    exchange.request.memory = std::exchange(exchange.memory, std::make_shared<MemoryReservation>());
    const bool peer_closed = stateOf(connection).peer_closed;
    callHandler(exchange);
    if (peer_closed) {
      exchange.peerClosed();
    }
    return exchange.continueConnection();
  }

  void callHandler(Exchange& exchange) {
    const ResponseWriterPtr writer = createResponseWriter(exchange.shared_from_this());
    try {
      handler_(std::move(exchange.request), writer);
    } catch (const std::exception& fault) {
      kLog.error(std::string("A request handler failed: ") + fault.what());
      writer->respond(resultCodeInfo(ResultCode::Internal).http_status, refusalHeaders(),
                      refusalBody(ResultCode::Internal, {}));
    }
  }

  void respondRefusal(Exchange& exchange) {
    const ResultCode code = *exchange.refusal;
    const bool too_large = code == ResultCode::BodyTooLarge;
    const std::size_t limit = too_large ? settings_.max_body_bytes : settings_.budget->limits().memory_bytes;
    Headers headers = refusalHeaders();
    if (!too_large) {
      retry_seconds_ = retry_seconds_ % kMaxRetrySeconds + 1;
      headers.push_back({MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(retry_seconds_)});
    }
    exchange.respond(resultCodeInfo(code).http_status, std::move(headers),
                     refusalBody(code, "The limit is " + std::to_string(limit) + " bytes"));
  }

  std::string refusalBody(ResultCode code, const std::string& detail) const {
    return settings_.refusal_body ? settings_.refusal_body(code, detail) : errorBody(code, detail);
  }

  Headers refusalHeaders() const {
    Headers headers = settings_.refusal_headers ? settings_.refusal_headers() : Headers();
    headers.push_back({MHD_HTTP_HEADER_CONTENT_TYPE, "application/json"});
    return headers;
  }

  static void onCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code) {
    auto& server = *static_cast<MicrohttpdServer*>(self);
    stateOf(connection).last_used = server.now();
    stateOf(connection).served = true;
    const std::unique_ptr<std::shared_ptr<Exchange>> exchange(
        static_cast<std::shared_ptr<Exchange>*>(std::exchange(*context, nullptr)));
    if (exchange) {
      (*exchange)->requestEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
      server.exchanges_.erase(*exchange);
    }
  }

  event::Dispatcher& dispatcher_;
  ServerSettings settings_;
  RequestHandler handler_;
  std::string certificate_;
  std::string key_;
  std::uint16_t port_ = 0;
  MHD_Daemon* daemon_ = nullptr;
  std::unique_ptr<event::Timer> timeout_;
  std::unique_ptr<event::Timer> idle_check_;
  std::unique_ptr<event::FileWatch> watch_;
  TimePoint armed_until_{};
  int retry_seconds_ = 0;  ///< of the last refusal for want of memory
  bool run_scheduled_ = false;
  bool closing_ = false;
  bool close_after_responses_ = false;
  /// Set to false on destruction, for posted callbacks that outlive the server.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unordered_set<std::shared_ptr<Exchange>> exchanges_;
  std::unordered_set<Connection*> connections_;  ///< open connections; owned by libmicrohttpd
};

}  // namespace

std::unique_ptr<Server> createServer(event::Dispatcher& dispatcher, const ServerSettings& settings,
                                     RequestHandler handler) {
  return std::make_unique<MicrohttpdServer>(dispatcher, settings, std::move(handler));
}

}  // namespace ferryrock::http
