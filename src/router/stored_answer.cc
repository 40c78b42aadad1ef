#include "router/stored_answer.h"

#include <utility>

#include "wire/codec.h"

namespace ferryrock::router {
/// Not in the unnamed namespace, where its comparison would be an unused function.
struct PackedAnswer {
  std::string text;
  std::string finish_reason;
  std::uint64_t count = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
  FERRYROCK_FIELDS(PackedAnswer, text, finish_reason, count, prompt_tokens, completion_tokens)
};

std::string encodeStoredAnswer(const StoredAnswer& answer) {
  PackedAnswer packed;
  packed.text = answer.text;
  packed.finish_reason = answer.finish_reason;
  packed.count = answer.end.count;
  packed.prompt_tokens = answer.end.prompt_tokens;
  packed.completion_tokens = answer.end.completion_tokens;
  return wire::encode(packed);
}

StoredAnswer decodeStoredAnswer(std::string_view bytes) {
  auto packed = wire::decode<PackedAnswer>(bytes);
  StoredAnswer answer;
  answer.text = std::move(packed.text);
  answer.finish_reason = std::move(packed.finish_reason);
  answer.end = StreamEnd{packed.count, packed.prompt_tokens, packed.completion_tokens};
  return answer;
}

}  // namespace ferryrock::router
