#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result_code.h"
#include "common/shared_text.h"
#include "event/dispatcher.h"
#include "http/client_budget.h"

namespace ferryrock::http {

struct Header {
  std::string name;
  std::string value;
};
using Headers = std::vector<Header>;

/// Returns the value of the first header with the name, compared case-insensitively.
std::optional<std::string> findHeader(const Headers& headers, std::string_view name);
/// True if only the end of the connection ends a response with these headers: it has neither a length nor
/// chunks.
bool endsWithConnection(const Headers& headers);

struct Request {
  std::string method;
  std::string path;    ///< without the query, percent-decoded
  std::string target;  ///< path and query, byte for byte as received
  Headers headers;
  std::vector<Header> query;
  std::string body;
  /// The memory that the server has taken for the request; returned with the last copy of the pointer, so
  /// whoever keeps the body keeps it too.
  std::shared_ptr<const MemoryReservation> memory;
};

/// Writer of the response to one request, owned by the code that responds; used on the server's dispatcher
/// thread only. Call either respond() once, or start(), any number of write(), then finish() or abort().
/// After the response has ended or the peer has closed the connection, calls have no effect. Destruction
/// before respond() or start() sends a 500 response; destruction in mid-stream aborts the response.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void respond(int status, Headers headers, std::string body) = 0;
  virtual void start(int status, Headers headers) = 0;
  virtual void write(std::string_view bytes) = 0;
  virtual void finish() = 0;
  /// Closes the connection after the written bytes, without the final chunk, so that the peer detects a
  /// truncated response.
  virtual void abort() = 0;
  /// Bytes written but not yet sent.
  virtual std::size_t bufferedBytes() const = 0;
  /// Sets a callback that runs once when the peer closes the connection, or its sending side, before the
  /// response has ended. If the peer has closed it already, the loop runs the callback immediately.
  virtual void onClosed(event::Callback callback) = 0;
  /// Sets a callback that runs whenever the buffered bytes fall to zero.
  virtual void onDrained(event::Callback callback) = 0;
};
using ResponseWriterPtr = std::shared_ptr<ResponseWriter>;

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: the system chooses the port, see Server::port()
  std::size_t max_body_bytes = 1 << 20;
  bool reuse_port = false;           ///< SO_REUSEPORT, for several dispatchers on one port
  std::string tls_certificate_file;  ///< both files empty: plain HTTP
  std::string tls_key_file;
  /// Time without progress after which a connection is closed; doesn't apply while a handler runs.
  Duration idle_timeout = std::chrono::seconds(120);
  /// Account of what is kept for clients, shared with the other servers of the process; none: one of its own
  /// with defaultClientLimits().
  std::shared_ptr<ClientBudget> budget;
  /// Headers of error responses that the server itself generates; may be empty.
  std::function<Headers()> refusal_headers;
  /// Body of these error responses; if empty, errorBody() is used.
  std::function<std::string(ResultCode code, const std::string& detail)> refusal_body;
};

using RequestHandler = std::function<void(Request, ResponseWriterPtr)>;

/// HTTP server based on libmicrohttpd, whose epoll descriptor is watched by one dispatcher. An exception
/// thrown by the handler is logged and results in a 500 response with the code Internal. Bodies over the
/// limit are rejected with 413 and BodyTooLarge; the handler isn't called. A request whose memory is evicted
/// before it is whole is read to its end, without being kept, and rejected with 503 and MemoryFull. Idle and
/// unfinished connections are closed if the budget needs theirs, and so are those whose client doesn't read.
class Server {
 public:
  virtual ~Server() = default;
  virtual std::uint16_t port() const = 0;
  /// Stops accepting connections; established connections continue.
  virtual void stopListening() = 0;
  /// Closes each connection after its next response, with "Connection: close"; new connections are still
  /// accepted.
  virtual void closeAfterResponses() = 0;
  /// Closes the connections without a request in flight, within about one second.
  virtual void closeIdleConnections() = 0;
  /// Number of connections, including idle ones.
  virtual std::size_t openConnections() const = 0;
  /// Number of requests whose response isn't completely sent.
  virtual std::size_t openRequests() const = 0;
};
/// Throws Error AddressInUse.
std::unique_ptr<Server> createServer(event::Dispatcher& dispatcher, const ServerSettings& settings,
                                     RequestHandler handler);

/// Default limit of a response's body.
inline constexpr std::size_t kMaxResponseBytes = std::size_t{8} << 20;

/// Progress of a client's request at its failure; determines whether the peer may have run it.
enum class SendProgress {
  NotSent,          ///< no byte of the request was sent: the peer hasn't run it
  MaybeSent,        ///< part of the request may have reached the peer
  ResponseStarted,  ///< the peer's status line was received
};

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  SharedText body;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration total_timeout = Duration::zero();  ///< zero: no timeout
  /// Sends the path byte for byte and adds no headers except those that frame the body.
  bool exact_headers = false;
  /// Maximum idle time of a pooled connection that may be reused; zero: the library's default.
  Duration idle_limit = Duration::zero();
  bool fresh_connection = false;  ///< never uses a pooled connection, for non-idempotent requests
  /// A response with a longer body fails; zero: no limit, for callers that bound what they keep.
  std::size_t max_body_bytes = kMaxResponseBytes;
  /// Tells from the head of the response whether it belongs to this request; none: it does. A connection with
  /// another one's is closed, and the call fails once on_headers was called. Must have no effects.
  std::function<bool(int status, const Headers&)> accepts_head;
  std::string ca_file;  ///< CA certificates for the peer's certificate; empty: the system's
};

struct ClientCallbacks {
  /// Called when the status and the headers have been received.
  std::function<void(int status, const Headers&)> on_headers;
  std::function<void(std::string_view bytes)> on_data;
  /// Called when the whole response has been received. Exactly one of on_complete and on_failure is called,
  /// unless the call is cancelled.
  std::function<void()> on_complete;
  std::function<void(SendProgress, std::string reason)> on_failure;
  /// Called before on_failure if the peer's machine refused the connection because nothing listens at the
  /// address.
  std::function<void()> on_refused;
};

/// A request in flight. Destroying the object cancels the request, after which no callback runs; this is
/// allowed within callbacks.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  /// Stops reading from the peer until resumed, so that memory stays bounded if the consumer is slow.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

/// HTTP client based on libcurl's multi-socket interface and one dispatcher. Never retries a request by
/// itself.
class Client {
 public:
  virtual ~Client() = default;
  virtual std::unique_ptr<ClientCall> send(ClientRequest request, ClientCallbacks callbacks) = 0;
};
std::unique_ptr<Client> createClient(event::Dispatcher& dispatcher);

/// Complete response of a blocking call.
struct ClientResponse {
  int status = 0;
  Headers headers;
  std::string body;
};
/// Sends a request and blocks until the response is complete; for command line programs. Throws Error
/// PeerUnreachable.
ClientResponse blockingCall(const ClientRequest& request);

}  // namespace ferryrock::http
