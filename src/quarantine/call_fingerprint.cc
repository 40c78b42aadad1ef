#include "quarantine/call_fingerprint.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <memory>

#include "common/error.h"

namespace ferryrock::quarantine {
namespace {

using DigestAlgorithm = std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)>;
using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// Computes SHA-256 digests in succession; the algorithm is looked up once.
class Sha256 {
 public:
  Sha256()
      : algorithm_(EVP_MD_fetch(nullptr, "SHA256", nullptr), &EVP_MD_free),
        context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {}

  void begin() { check(EVP_DigestInit_ex2(context_.get(), algorithm_.get(), nullptr)); }
  void add(const void* bytes, std::size_t size) { check(EVP_DigestUpdate(context_.get(), bytes, size)); }
  std::array<unsigned char, EVP_MAX_MD_SIZE> end() {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    check(EVP_DigestFinal_ex(context_.get(), digest.data(), nullptr));
    return digest;
  }

 private:
  static void check(int result) {
    if (result != 1) {
      throw Error(ResultCode::Internal, "libcrypto failed to compute SHA-256");
    }
  }

  DigestAlgorithm algorithm_;
  DigestContext context_;
};

/// Each part is preceded by its length, so that different lists of parts never give the same bytes.
void addPart(Sha256& digest, std::string_view part) {
  const std::uint64_t size = part.size();
  digest.add(&size, sizeof size);
  digest.add(part.data(), part.size());
}

}  // namespace

wire::CallFingerprint fingerprintOf(const CallIdentity& identity) {
  thread_local Sha256 digest;
  digest.begin();
  for (const std::string_view part :
       {identity.method, identity.host, identity.target, identity.caller, identity.body}) {
    addPart(digest, part);
  }
  const auto bytes = digest.end();
  wire::CallFingerprint fingerprint;
  std::memcpy(&fingerprint.high, bytes.data(), sizeof fingerprint.high);
  std::memcpy(&fingerprint.low, bytes.data() + sizeof fingerprint.high, sizeof fingerprint.low);
  return fingerprint;
}

std::string toText(const wire::CallFingerprint& fingerprint) {
  constexpr std::size_t kDigits = 32;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(fingerprint.high),
                static_cast<unsigned long long>(fingerprint.low));
  return text.data();
}

std::optional<wire::CallFingerprint> fingerprintFrom(std::string_view text) {
  constexpr std::size_t kDigitsEach = 16;
  constexpr int kHexadecimal = 16;
  wire::CallFingerprint fingerprint;
  if (text.size() != 2 * kDigitsEach) {
    return std::nullopt;
  }
  const char* middle = text.data() + kDigitsEach;
  const char* end = middle + kDigitsEach;
  const bool high = std::from_chars(text.data(), middle, fingerprint.high, kHexadecimal).ptr == middle;
  const bool low = std::from_chars(middle, end, fingerprint.low, kHexadecimal).ptr == end;
  return high && low ? std::optional(fingerprint) : std::nullopt;
}

}  // namespace ferryrock::quarantine
