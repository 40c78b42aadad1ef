#include "http/exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "http/error_body.h"

namespace ferryrock::http {
namespace {

constexpr std::size_t kStreamBlockBytes = std::size_t{16} * 1024;
/// Larger bodies stay with the exchange until they are sent, so that an eviction frees them.
constexpr std::size_t kMaxOwnedByLibrary = std::size_t{64} * 1024;

class ExchangeWriter : public ResponseWriter {
 public:
  explicit ExchangeWriter(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  ~ExchangeWriter() override { exchange_->abandon(); }
  void respond(int status, Headers headers, std::string body) override {
    exchange_->respond(status, std::move(headers), std::move(body));
  }
  void start(int status, Headers headers) override { exchange_->start(status, std::move(headers)); }
  void write(std::string_view bytes) override { exchange_->write(bytes); }
  void finish() override { exchange_->finish(); }
  void abort() override { exchange_->abort(); }
  std::size_t bufferedBytes() const override { return exchange_->bufferedBytes(); }
  void onClosed(event::Callback callback) override { exchange_->onClosed(std::move(callback)); }
  void onDrained(event::Callback callback) override { exchange_->onDrained(std::move(callback)); }

 private:
  std::shared_ptr<Exchange> exchange_;
};

}  // namespace

ResponseWriterPtr createResponseWriter(std::shared_ptr<Exchange> exchange) {
  return std::make_shared<ExchangeWriter>(std::move(exchange));
}

MHD_Result Exchange::continueConnection() {
  const bool started = status_ != 0;
  if (phase_ == Phase::Aborted && !started) {
    return MHD_NO;
  }
  if (phase_ == Phase::Waiting) {
    suspend();
    return MHD_YES;
  }
  return queueResponse();
}

void Exchange::peerClosed() {
  if (phase_ != Phase::Waiting && phase_ != Phase::Streaming) {
    return;
  }
  phase_ = Phase::Aborted;
  notifyClosed();
  resume();
}

void Exchange::refuse(ResultCode code) {
  refusal = code;
  received = BodyBuffer();
  memory->release();
}

void Exchange::requestEnded(bool complete) {
  connection_ = nullptr;
  answer_memory_.release();
  suspended_ = false;
  if (!complete) {
    notifyClosed();
  }
  phase_ = complete ? Phase::Finished : Phase::Aborted;
}

void Exchange::ownerDestroyed() {
  if (phase_ == Phase::Waiting || phase_ == Phase::Streaming) {
    phase_ = Phase::Aborted;
  }
  resume();
  owner_ = nullptr;
}

void Exchange::respond(int status, Headers headers, std::string body) {
  if (phase_ != Phase::Waiting) {
    return;
  }
  status_ = status;
  headers_ = std::move(headers);
  pending_ = std::move(body);
  phase_ = Phase::Responded;
  holdAnswer(pending_.size());
  resume();
}

void Exchange::start(int status, Headers headers) {
  if (phase_ != Phase::Waiting) {
    return;
  }
  status_ = status;
  headers_ = std::move(headers);
  phase_ = Phase::Streaming;
  resume();
}

void Exchange::write(std::string_view bytes) {
  if (phase_ != Phase::Streaming) {
    return;
  }
  holdAnswer(pending_.size() + bytes.size());
  if (phase_ == Phase::Streaming) {  // not evicted just now
    pending_.append(bytes);
    resume();
  }
}

void Exchange::finish() {
  if (phase_ == Phase::Streaming) {
    phase_ = Phase::Finished;
    resume();
  }
}

void Exchange::abort() {
  if (phase_ == Phase::Waiting || phase_ == Phase::Streaming) {
    phase_ = Phase::Aborted;
    resume();
  }
}

/// The response's memory is taken in any case: the sender, a replica or this process, has accounted for it.
void Exchange::holdAnswer(std::size_t bytes) {
  if (answer_memory_.bytes() == 0 && owner_ != nullptr) {
    answer_began_ = owner_->now();
  }
  answer_memory_.resizeAnyway(bytes, MemoryUse::Answer);
}

void Exchange::evictAnswer() {
  const int descriptor = socket();
  pending_ = std::string();
  pending_offset_ = 0;
  answer_memory_.release();
  peerClosed();
  phase_ = Phase::Aborted;
  resetConnection();
  if (descriptor >= 0) {
    ::shutdown(descriptor, SHUT_RDWR);
  }
}

void Exchange::abandon() {
  on_closed_ = nullptr;
  on_drained_ = nullptr;
  if (phase_ == Phase::Waiting) {
    respond(resultCodeInfo(ResultCode::Internal).http_status, {{"Content-Type", "application/json"}},
            errorBody(ResultCode::Internal, "The request was dropped"));
  } else {
    abort();
  }
}

void Exchange::onClosed(event::Callback callback) {
  on_closed_ = std::move(callback);
  if (closed_) {
    closed_ = false;
    notifyClosed();
  }
}

ssize_t Exchange::readContent(void* context, std::uint64_t /*position*/, char* buffer, std::size_t size) {
  return (*static_cast<std::shared_ptr<Exchange>*>(context))->readPending(buffer, size);
}

void Exchange::releaseText(void* content) {
  delete static_cast<std::string*>(content);
}

void Exchange::releaseContent(void* context) {
  delete static_cast<std::shared_ptr<Exchange>*>(context);
}

/// Called when libmicrohttpd has sent all bytes that it received earlier.
ssize_t Exchange::readPending(char* buffer, std::size_t size) {
  unsent_bytes_ = 0;
  const std::size_t count = std::min(size, pending_.size() - pending_offset_);
  if (count > 0) {
    std::memcpy(buffer, pending_.data() + pending_offset_, count);
    pending_offset_ += count;
    unsent_bytes_ = count;
    if (pending_offset_ == pending_.size()) {
      pending_ = std::string();
      pending_offset_ = 0;
      answer_memory_.release();
    }
    return static_cast<ssize_t>(count);
  }
  if (phase_ == Phase::Finished || phase_ == Phase::Responded) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (phase_ == Phase::Aborted) {
    resetConnection();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  suspend();
  if (on_drained_ && owner_ != nullptr) {
    owner_->post([self = shared_from_this()] {
      if (self->on_drained_) {
        const event::Callback callback = self->on_drained_;
        callback();
      }
    });
  }
  return 0;
}

MHD_Result Exchange::queueResponse() {
  if (queued_) {
    return MHD_YES;
  }
  queued_ = true;
  MHD_Response* response = createResponse();
  if (response == nullptr) {
    return MHD_NO;
  }
  addHeaders(response);
  const MHD_Result queued = MHD_queue_response(connection_, static_cast<unsigned>(status_), response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Response* Exchange::createResponse() {
  if (phase_ == Phase::Responded && pending_.size() <= kMaxOwnedByLibrary) {
    auto content = std::make_unique<std::string>(std::exchange(pending_, {}));
    MHD_Response* response = MHD_create_response_from_buffer_with_free_callback_cls(
        content->size(), content->data(), &releaseText, content.get());
    if (response != nullptr) {
      static_cast<void>(content.release());  // now owned by the response
    }
    return response;
  }
  const std::uint64_t size = phase_ == Phase::Responded ? pending_.size() : MHD_SIZE_UNKNOWN;
  auto context = std::make_unique<std::shared_ptr<Exchange>>(shared_from_this());
  MHD_Response* response = MHD_create_response_from_callback(size, kStreamBlockBytes, &readContent,
                                                             context.get(), &releaseContent);
  if (response != nullptr) {
    static_cast<void>(context.release());  // now owned by the response
  }
  return response;
}

void Exchange::addHeaders(MHD_Response* response) const {
  for (const Header& header : headers_) {
    MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
  }
  if (owner_ != nullptr && owner_->closing()) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
}

void Exchange::suspend() {
  if (!suspended_ && connection_ != nullptr) {
    suspended_ = true;
    MHD_suspend_connection(connection_);
  }
}

void Exchange::resume() {
  if (suspended_ && connection_ != nullptr) {
    suspended_ = false;
    MHD_resume_connection(connection_);
    if (owner_ != nullptr) {
      owner_->scheduleRun();
    }
  }
}

void Exchange::notifyClosed() {
  if (closed_) {
    return;
  }
  closed_ = true;
  if (on_closed_ && owner_ != nullptr) {
    owner_->post([self = shared_from_this()] {
      if (self->on_closed_) {
        const event::Callback callback = std::exchange(self->on_closed_, nullptr);
        callback();
      }
    });
  }
}

/// An HTTP/1.0 body ends with its connection, so only a reset shows the peer that the body is truncated.
/// libmicrohttpd closes with a FIN; connect(2) with AF_UNSPEC dissolves the association and sends a RST
/// first.
void Exchange::resetConnection() const {
  if (chunked_responses_ || connection_ == nullptr) {
    return;
  }
  const int descriptor = socket();
  if (descriptor >= 0) {
    const sockaddr dissolved{AF_UNSPEC, {}};
    static_cast<void>(::connect(descriptor, &dissolved, sizeof dissolved));
  }
}

/// Returns -1 if the connection isn't open.
int Exchange::socket() const {
  if (connection_ == nullptr) {
    return -1;
  }
  const MHD_ConnectionInfo* info = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == nullptr ? -1 : info->connect_fd;
}

}  // namespace ferryrock::http
