#include "quarantine/call_fingerprint.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace ferryrock::quarantine {
namespace {

constexpr CallIdentity kIdentity{"POST", "example", "/a/b?c=1", "key", "body"};

TEST_CASE("Equal calls have equal fingerprints, and a difference in any part changes the fingerprint") {
  CHECK(fingerprintOf(kIdentity) == fingerprintOf(kIdentity));
  const std::vector<CallIdentity> others = {
      {"PUT", "example", "/a/b?c=1", "key", "body"},   {"POST", "example2", "/a/b?c=1", "key", "body"},
      {"POST", "example", "/a/b?c=2", "key", "body"},  {"POST", "example", "/a/b?c=1", "", "body"},
      {"POST", "example", "/a/b?c=1", "key", "body "}, {"POST", "example", "/a/b?c=1", "keyb", "ody"},
      {"POST", "example", "/a/b?c=", "1key", "body"},  {"POST", "example", "/a/b?c=1", "key", ""},
      {"POST", "example/a", "/b?c=1", "key", "body"},
  };
  for (const CallIdentity& other : others) {
    CHECK(fingerprintOf(other) != fingerprintOf(kIdentity));
  }
}

TEST_CASE("A fingerprint is written as 32 hexadecimal digits, without the key or the body") {
  const std::string text = toText(fingerprintOf(kIdentity));
  CHECK(text.size() == 32);
  CHECK(text.find_first_not_of("0123456789abcdef") == std::string::npos);
  CHECK(fingerprintFrom(text) == fingerprintOf(kIdentity));
  for (const char* unreadable : {"", "12", "0000000000000001000000000000000g",
                                 "000000000000000100000000000000ab0", "-000000000000001000000000000000a"}) {
    CHECK_FALSE(fingerprintFrom(unreadable));
  }
  CHECK(toText({1, 0xab}) == "000000000000000100000000000000ab");
}

}  // namespace
}  // namespace ferryrock::quarantine
