#include "wire/codec.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>

#include "common/random.h"
#include "wire/messages.h"

namespace ferryrock::wire {
namespace {

Envelope exampleEnvelope() {
  TableUpdate update;
  update.revision = LogIndex{7};
  update.full = true;
  RouteEntry entry;
  entry.settings.name = ModelName{"compressor-diagnosis"};
  entry.settings.zones = {"hall-1"};
  entry.replicas.push_back({SlotId{3},
                            EngineName{"engine-1"},
                            Incarnation{2},
                            "http://127.0.0.1:1",
                            ZoneName{"hall-1"},
                            true,
                            {ModelName{"adapter"}}});
  update.entries.push_back(entry);
  return {NodeName{"control-1"}, update};
}

ResultCode decodeFault(const std::string& bytes) {
  try {
    decodeEnvelope(bytes);
  } catch (const Error& error) {
    return error.code();
  }
  return ResultCode::Ok;
}

TEST_CASE("an envelope is unchanged by encoding and decoding") {
  const Envelope envelope = exampleEnvelope();
  CHECK(decodeEnvelope(encodeEnvelope(envelope)) == envelope);
  const Envelope commands{NodeName{"router-1"},
                          RouterCommands{NodeName{"router-1"}, 4, {{9, ClaimCommand{}}}}};
  CHECK(decodeEnvelope(encodeEnvelope(commands)) == commands);
}

TEST_CASE("a message of another protocol version is refused with ProtocolVersionMismatch") {
  const std::string other = encode(std::pair<std::uint32_t, std::string>{kProtocolVersion + 1, "body"});
  CHECK(decodeFault(other) == ResultCode::ProtocolVersionMismatch);
}

TEST_CASE("every prefix of a message is refused as malformed") {
  const std::string bytes = encodeEnvelope(exampleEnvelope());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decodeFault(bytes.substr(0, size)) == ResultCode::MalformedMessage);
  }
  CHECK(decodeFault(bytes + "x") == ResultCode::MalformedMessage);
}

TEST_CASE("decoding corrupted bytes causes a result code at worst") {
  Random random(11);
  const std::string bytes = encodeEnvelope(exampleEnvelope());
  int refused = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string changed = bytes;
    changed[random.below(changed.size())] = static_cast<char>(random.below(256));
    refused += decodeFault(changed) == ResultCode::Ok ? 0 : 1;
  }
  CHECK(refused > 0);
}

struct OldMessage {
  std::uint64_t first = 0;
  FERRYROCK_FIELDS(OldMessage, first)
};

struct NewMessage {
  std::uint64_t first = 0;
  std::string second = "default";
  FERRYROCK_FIELDS(NewMessage, first, second)
};

TEST_CASE("a message read by an older or newer process keeps the members known to both") {
  CHECK(decode<OldMessage>(encode(NewMessage{5, "text"})) == OldMessage{5});
  CHECK(decode<NewMessage>(encode(OldMessage{6})) == NewMessage{6, "default"});
}

TEST_CASE("containers are unchanged by encoding and decoding") {
  const std::map<std::string, std::set<SlotId>> slots{{"a", {SlotId{1}, SlotId{2}}}, {"b", {}}};
  CHECK(decode<std::map<std::string, std::set<SlotId>>>(encode(slots)) == slots);
  const std::vector<std::optional<std::string>> texts{std::nullopt, "x"};
  CHECK(decode<std::vector<std::optional<std::string>>>(encode(texts)) == texts);
}

}  // namespace
}  // namespace ferryrock::wire
