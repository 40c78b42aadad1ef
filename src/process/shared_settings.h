#pragma once

#include <cstdint>
#include <string>

#include "common/log_settings.h"
#include "common/settings_reader.h"
#include "http/http.h"

/// Sections of the settings files that are common to control and router processes. The readers throw Error
/// with the file, line and key of the first fault.
namespace ferryrock::process {

/// CURVE keys of the process; both members are empty if keys are off.
struct KeySettings {
  std::string public_key;
  std::string secret_key_file;
  friend bool operator==(const KeySettings&, const KeySettings&) = default;
};

/// Certificate of the HTTP server; both members are empty for plain HTTP.
struct TlsSettings {
  std::string certificate_file;
  std::string key_file;
};

KeySettings readKeys(SettingsReader reader);
TlsSettings readTls(SettingsReader reader);
/// Reads the setting 'public_key', a Z85 CURVE key; empty if it is absent.
std::string readPublicKey(SettingsReader& reader);
/// Reads the secret key from its file; empty if keys are off. Throws UnreadableFile or SettingOutOfRange.
std::string readSecretKey(const KeySettings& keys);

struct HostAndPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Splits "host:port". Throws Error InvalidArgument.
HostAndPort parseAddress(const std::string& address);

/// Returns the settings of an HTTP server that listens on the given address.
http::ServerSettings listenSettings(const std::string& address, const TlsSettings& tls,
                                    std::size_t max_body_bytes);

/// Returns the text of a file without trailing white space. Throws Error UnreadableFile.
std::string readTextFile(const std::string& file);

}  // namespace ferryrock::process
