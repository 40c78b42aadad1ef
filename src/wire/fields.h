#pragma once

#include <tuple>

/// Lists the members of a message that the codec encodes, in this order; new members are appended. Also
/// defines equality over them. A message without members uses FERRYROCK_NO_FIELDS.
#define FERRYROCK_FIELDS(Type, ...)                             \
  auto fields() {                                               \
    return std::tie(__VA_ARGS__);                               \
  }                                                             \
  auto fields() const {                                         \
    return std::tie(__VA_ARGS__);                               \
  }                                                             \
  friend bool operator==(const Type& left, const Type& right) { \
    return left.fields() == right.fields();                     \
  }

#define FERRYROCK_NO_FIELDS(Type)                    \
  auto fields() {                                    \
    return std::tuple<>();                           \
  }                                                  \
  auto fields() const {                              \
    return std::tuple<>();                           \
  }                                                  \
  friend bool operator==(const Type&, const Type&) { \
    return true;                                     \
  }
