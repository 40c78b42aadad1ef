#include "transport/zap_authenticator.h"

#include <array>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "transport/uninterrupted.h"

namespace ferryrock::transport {
namespace {

constexpr std::size_t kRawKeyBytes = 32;
constexpr std::size_t kZ85KeyBytes = 41;
/// Frames of a CURVE authentication request: version, request id, domain, address, identity, mechanism,
/// public key.
constexpr std::size_t kCurveRequestFrames = 7;

std::vector<zmq::message_t> receiveFrames(zmq::socket_t& socket) {
  std::vector<zmq::message_t> frames;
  do {
    zmq::message_t frame;
    if (!uninterrupted([&] { return socket.recv(frame, zmq::recv_flags::dontwait); })) {
      break;
    }
    frames.push_back(std::move(frame));
  } while (frames.back().more());
  return frames;
}

std::string keyOf(const std::vector<zmq::message_t>& frames) {
  if (frames.size() < kCurveRequestFrames || frames[kCurveRequestFrames - 1].size() != kRawKeyBytes) {
    return {};
  }
  std::array<char, kZ85KeyBytes> text{};
  zmq_z85_encode(text.data(), static_cast<const std::uint8_t*>(frames[kCurveRequestFrames - 1].data()),
                 kRawKeyBytes);
  return text.data();
}

void answer(zmq::socket_t& socket, const std::vector<zmq::message_t>& request, const std::string& node) {
  const std::string request_id = request.size() > 1 ? request[1].to_string() : std::string();
  const bool accepted = !node.empty();
  const std::array<std::string, 6> reply{
      "1.0", request_id, accepted ? "200" : "400", accepted ? "OK" : "the key is not on the allow-list",
      node,  ""};
  for (std::size_t i = 0; i < reply.size(); ++i) {
    const auto flags = i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    uninterrupted([&] { return socket.send(zmq::buffer(reply[i]), flags | zmq::send_flags::dontwait); });
  }
}

}  // namespace

ZapAuthenticator::ZapAuthenticator(zmq::context_t& context, event::Dispatcher& dispatcher)
    : socket_(std::make_unique<zmq::socket_t>(context, zmq::socket_type::rep)) {
  socket_->set(zmq::sockopt::linger, 0);
  socket_->bind("inproc://zeromq.zap.01");
  watch_ = dispatcher.watchFile(socket_->get(zmq::sockopt::fd), event::kReadable,
                                [this](unsigned) { answerRequests(); });
}

ZapAuthenticator::~ZapAuthenticator() = default;

void ZapAuthenticator::allow(std::map<std::string, std::string> node_by_key) {
  node_by_key_ = std::move(node_by_key);
}

void ZapAuthenticator::answerRequests() {
  const auto events = [this] { return socket_->get(zmq::sockopt::events); };
  while ((uninterrupted(events) & ZMQ_POLLIN) != 0) {
    const std::vector<zmq::message_t> request = receiveFrames(*socket_);
    const auto found = node_by_key_.find(keyOf(request));
    const std::string node = found == node_by_key_.end() ? std::string() : found->second;
    refused_ += node.empty() ? 1 : 0;
    answer(*socket_, request, node);
  }
}

}  // namespace ferryrock::transport
