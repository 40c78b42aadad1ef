#include "process/shared_settings.h"

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>
#include <string_view>

#include "common/error.h"

namespace ferryrock::process {
namespace {

/// Returns true for a Z85-encoded CURVE key: 8 groups of 5 base-85 digits, each with a value below 2^32.
bool isKey(std::string_view text) {
  constexpr std::string_view kDigits =
      "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^!/*?&<>()[]{}@%$#";
  constexpr std::size_t kKeyLength = 40;
  constexpr std::size_t kGroupLength = 5;
  if (text.size() != kKeyLength) {
    return false;
  }
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::size_t digit = kDigits.find(text[i]);
    value = (i % kGroupLength == 0 ? 0 : value * kDigits.size()) + digit;
    if (digit == std::string_view::npos || value > std::numeric_limits<std::uint32_t>::max()) {
      return false;
    }
  }
  return true;
}

}  // namespace

KeySettings readKeys(SettingsReader reader) {
  KeySettings keys;
  keys.public_key = readPublicKey(reader);
  keys.secret_key_file = reader.text("secret_key_file", "");
  if (keys.public_key.empty() != keys.secret_key_file.empty()) {
    throw Error(ResultCode::MissingSetting, "'keys' needs both public_key and secret_key_file",
                reader.place());
  }
  reader.finish();
  return keys;
}

TlsSettings readTls(SettingsReader reader) {
  TlsSettings tls;
  tls.certificate_file = reader.text("certificate_file", "");
  tls.key_file = reader.text("key_file", "");
  if (tls.certificate_file.empty() != tls.key_file.empty()) {
    throw Error(ResultCode::MissingSetting, "'tls' needs both certificate_file and key_file", reader.place());
  }
  reader.finish();
  return tls;
}

std::string readPublicKey(SettingsReader& reader) {
  std::string key = reader.text("public_key", "");
  if (!key.empty() && !isKey(key)) {
    throw Error(ResultCode::SettingOutOfRange,
                "'public_key' must be the 40 characters that 'ferryrock keys generate' wrote",
                reader.place("public_key"));
  }
  return key;
}

std::string readSecretKey(const KeySettings& keys) {
  if (keys.secret_key_file.empty()) {
    return {};
  }
  std::string key = readTextFile(keys.secret_key_file);
  if (!isKey(key)) {
    throw Error(ResultCode::SettingOutOfRange,
                "the file doesn't contain a secret key written by 'ferryrock keys generate'",
                keys.secret_key_file);
  }
  return key;
}

HostAndPort parseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  HostAndPort parsed;
  if (colon != std::string::npos && colon > 0) {
    parsed.host = address.substr(0, colon);
    const char* begin = address.data() + colon + 1;
    const char* end = address.data() + address.size();
    const auto [used, fault] = std::from_chars(begin, end, parsed.port);
    if (fault == std::errc{} && used == end) {
      return parsed;
    }
  }
  throw Error(ResultCode::InvalidArgument, "'" + address + "' isn't an address such as 127.0.0.1:7000");
}

http::ServerSettings listenSettings(const std::string& address, const TlsSettings& tls,
                                    std::size_t max_body_bytes) {
  const HostAndPort parsed = parseAddress(address);
  http::ServerSettings settings;
  settings.address = parsed.host;
  settings.port = parsed.port;
  settings.max_body_bytes = max_body_bytes;
  settings.tls_certificate_file = tls.certificate_file;
  settings.tls_key_file = tls.key_file;
  return settings;
}

std::string readTextFile(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  std::ostringstream text;
  text << input.rdbuf();
  if (!input) {
    throw Error(ResultCode::UnreadableFile, "the file can't be read", file);
  }
  std::string content = text.str();
  content.erase(content.find_last_not_of(" \t\r\n") + 1);
  return content;
}

}  // namespace ferryrock::process
