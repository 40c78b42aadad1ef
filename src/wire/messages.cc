#include "wire/messages.h"

#include "common/hashing.h"
#include "wire/codec.h"

namespace ferryrock::wire {

/// The version is encoded outside of the message, so that a process can reject a message that it couldn't
/// decode.
struct VersionedFrame {
  std::uint32_t version = kProtocolVersion;
  std::string body;
  FERRYROCK_FIELDS(VersionedFrame, version, body)
};

std::string encodeEnvelope(const Envelope& envelope) {
  return encode(VersionedFrame{kProtocolVersion, encode(envelope)});
}

Envelope decodeEnvelope(std::string_view bytes) {
  const auto frame = decode<VersionedFrame>(bytes);
  if (frame.version != kProtocolVersion) {
    throw Error(ResultCode::ProtocolVersionMismatch,
                "the message has protocol version " + std::to_string(frame.version) +
                    ", this process supports " + std::to_string(kProtocolVersion));
  }
  return decode<Envelope>(frame.body);
}

std::string encodeCommand(const Command& command) {
  return encode(command);
}
Command decodeCommand(std::string_view bytes) {
  return decode<Command>(bytes);
}
std::string encodeMembership(const Membership& membership) {
  return encode(membership);
}
Membership decodeMembership(std::string_view bytes) {
  return decode<Membership>(bytes);
}

std::uint64_t entryDigest(const RouteEntry& entry) {
  return stableHash(encode(entry));
}

std::uint64_t absentDigest(const ModelName& name) {
  constexpr std::uint64_t kAbsentSeed = 1;
  return stableHash(name.value, kAbsentSeed);
}

std::uint64_t directoryDigest(const std::vector<std::string>& addresses) {
  std::uint64_t digest = 0;
  for (const std::string& address : addresses) {
    digest = stableHash(address, digest + 1);
  }
  return digest;
}

std::uint64_t relaysDigest(const std::vector<RelayRouter>& relays) {
  std::uint64_t digest = 0;
  for (const RelayRouter& relay : relays) {
    digest = stableHash(relay.router.value + " " + relay.zone.value + " " + relay.address, digest + 1);
  }
  return digest;
}

std::uint64_t contactsDigest(const std::vector<RouterContact>& contacts) {
  std::uint64_t digest = 0;
  for (const RouterContact& contact : contacts) {
    const std::uint64_t place = stableHash(contact.address + " " + contact.zone.value, contact.incarnation);
    digest = stableHash(contact.router.value, digest + place);
  }
  return digest;
}

}  // namespace ferryrock::wire
