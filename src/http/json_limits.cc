#include "http/json_limits.h"

#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"

namespace ferryrock::http {
namespace {

using Json = nlohmann::json;

/// Texts up to this size can't have too many values. Those nested too deep are small once parsed.
constexpr std::size_t kUncheckedBytes = std::size_t{64} << 10;

/// Counts the values and levels of a text; stops the parser at the first one beyond the limits.
class JsonMeter : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return countValue(); }
  bool boolean(bool /*value*/) override { return countValue(); }
  bool number_integer(number_integer_t /*value*/) override { return countValue(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return countValue(); }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return countValue(); }
  bool string(string_t& /*value*/) override { return countValue(); }
  bool binary(binary_t& /*value*/) override { return countValue(); }
  bool key(string_t& /*name*/) override { return countValue(); }
  bool start_object(std::size_t /*elements*/) override { return begin(); }
  bool start_array(std::size_t /*elements*/) override { return begin(); }
  bool end_object() override { return end(); }
  bool end_array() override { return end(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const Json::exception& /*fault*/) override {
    return false;
  }

  bool tooDeep() const { return depth_ > kMaxJsonDepth; }
  bool tooMany() const { return values_ > kMaxJsonValues; }

 private:
  bool countValue() { return ++values_ <= kMaxJsonValues; }
  bool begin() { return ++depth_ <= kMaxJsonDepth && countValue(); }
  bool end() {
    --depth_;
    return true;
  }

  std::size_t values_ = 0;
  std::size_t depth_ = 0;
};

}  // namespace

void checkJsonSize(std::string_view text) {
  if (text.size() <= kUncheckedBytes) {
    return;
  }
  JsonMeter meter;
  Json::sax_parse(text, &meter);
  if (meter.tooDeep()) {
    throw Error(ResultCode::MalformedBody, "lists and objects within each other are deeper than " +
                                               std::to_string(kMaxJsonDepth) + " levels");
  }
  if (meter.tooMany()) {
    throw Error(ResultCode::MalformedBody,
                "the body has more than " + std::to_string(kMaxJsonValues) + " values");
  }
}

}  // namespace ferryrock::http
