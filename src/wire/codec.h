#pragma once

// Include from .cc files only: the headers of msgpack are large.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "common/error.h"
#include "common/identifiers.h"

/// Encodes as msgpack any type made of fields(), names, numbers, enumerations, arithmetic types, strings,
/// vectors, maps, sets, optionals, pairs and variants. A type with fields() is encoded as an array: a reader
/// ignores the extra elements of a longer array (written by a newer process) and leaves members that a
/// shorter one lacks at their defaults. If an earlier build listed the members in another order,
/// legacyFields() returns them in that order: when reading, that layout is recognized by its number of
/// members; when writing, it is used if legacy_layout is set. For a type with encoded_member_count, the
/// number of members in the encoding is stored there, which shows which build the peer runs.
namespace ferryrock::wire {

namespace codec_detail {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
concept HasFields = requires(T& value) {
  value.fields();
};

template <class T>
concept HasLegacyFields = requires(T& value) {
  value.legacyFields();
  value.legacy_layout;
};

template <class T>
concept HasEncodedMemberCount = requires(T& value) {
  value.encoded_member_count;
};

template <class T>
struct IsVariant : std::false_type {};
template <class... A>
struct IsVariant<std::variant<A...>> : std::true_type {};

[[noreturn]] inline void throwMalformed(const char* detail) {
  throw Error(ResultCode::MalformedMessage, detail);
}

template <class T>
void packValue(Packer& packer, const T& value);
template <class Tag>
void packValue(Packer& packer, const Name<Tag>& name);
template <class Tag>
void packValue(Packer& packer, const Number<Tag>& number);
template <class T>
void packValue(Packer& packer, const std::vector<T>& values);
template <class T>
void packValue(Packer& packer, const std::set<T>& values);
template <class K, class V>
void packValue(Packer& packer, const std::map<K, V>& values);
template <class A, class B>
void packValue(Packer& packer, const std::pair<A, B>& value);
template <class T>
void packValue(Packer& packer, const std::optional<T>& value);

template <class Tag>
void packValue(Packer& packer, const Name<Tag>& name) {
  packer.pack(name.value);
}
template <class Tag>
void packValue(Packer& packer, const Number<Tag>& number) {
  packer.pack(number.value);
}
template <class T>
void packValue(Packer& packer, const std::vector<T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    packValue(packer, value);
  }
}
template <class T>
void packValue(Packer& packer, const std::set<T>& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    packValue(packer, value);
  }
}
template <class K, class V>
void packValue(Packer& packer, const std::map<K, V>& values) {
  packer.pack_map(static_cast<std::uint32_t>(values.size()));
  for (const auto& [key, value] : values) {
    packValue(packer, key);
    packValue(packer, value);
  }
}
template <class A, class B>
void packValue(Packer& packer, const std::pair<A, B>& value) {
  packer.pack_array(2);
  packValue(packer, value.first);
  packValue(packer, value.second);
}
template <class T>
void packValue(Packer& packer, const std::optional<T>& value) {
  if (value) {
    packValue(packer, *value);
  } else {
    packer.pack_nil();
  }
}
template <class Members>
void packMembers(Packer& packer, const Members& members) {
  packer.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<Members>));
  std::apply([&packer](const auto&... member) { (packValue(packer, member), ...); }, members);
}

template <class T>
void packValue(Packer& packer, const T& value) {
  if constexpr (IsVariant<T>::value) {
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&packer](const auto& alternative) { packValue(packer, alternative); }, value);
  } else if constexpr (HasFields<const T>) {
    if constexpr (HasLegacyFields<const T>) {
      if (value.legacy_layout) {
        packMembers(packer, value.legacyFields());
        return;
      }
    }
    packMembers(packer, value.fields());
  } else if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::int64_t>(value));
  } else {
    packer.pack(value);
  }
}

template <class T>
void readValue(const msgpack::object& object, T& value);
template <class Tag>
void readValue(const msgpack::object& object, Name<Tag>& name);
template <class Tag>
void readValue(const msgpack::object& object, Number<Tag>& number);
template <class T>
void readValue(const msgpack::object& object, std::vector<T>& values);
template <class T>
void readValue(const msgpack::object& object, std::set<T>& values);
template <class K, class V>
void readValue(const msgpack::object& object, std::map<K, V>& values);
template <class A, class B>
void readValue(const msgpack::object& object, std::pair<A, B>& value);
template <class T>
void readValue(const msgpack::object& object, std::optional<T>& value);

template <class Tag>
void readValue(const msgpack::object& object, Name<Tag>& name) {
  object.convert(name.value);
}
template <class Tag>
void readValue(const msgpack::object& object, Number<Tag>& number) {
  object.convert(number.value);
}
template <class T>
void readValue(const msgpack::object& object, std::vector<T>& values) {
  if (object.type != msgpack::type::ARRAY) {
    throwMalformed("an array was expected");
  }
  values.clear();
  values.reserve(object.via.array.size);
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    T value{};
    readValue(object.via.array.ptr[i], value);
    values.push_back(std::move(value));
  }
}
template <class T>
void readValue(const msgpack::object& object, std::set<T>& values) {
  std::vector<T> list;
  readValue(object, list);
  values = std::set<T>(std::make_move_iterator(list.begin()), std::make_move_iterator(list.end()));
}
template <class K, class V>
void readValue(const msgpack::object& object, std::map<K, V>& values) {
  if (object.type != msgpack::type::MAP) {
    throwMalformed("a map was expected");
  }
  values.clear();
  for (std::uint32_t i = 0; i < object.via.map.size; ++i) {
    K key{};
    readValue(object.via.map.ptr[i].key, key);
    readValue(object.via.map.ptr[i].val, values[std::move(key)]);
  }
}
template <class A, class B>
void readValue(const msgpack::object& object, std::pair<A, B>& value) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
    throwMalformed("a pair was expected");
  }
  readValue(object.via.array.ptr[0], value.first);
  readValue(object.via.array.ptr[1], value.second);
}
template <class T>
void readValue(const msgpack::object& object, std::optional<T>& value) {
  if (object.type == msgpack::type::NIL) {
    value.reset();
    return;
  }
  readValue(object, value.emplace());
}

template <class Variant, std::size_t... Index>
void readAlternative(const msgpack::object& object, std::size_t number, Variant& value,
                     std::index_sequence<Index...>) {
  const bool known =
      ((Index == number ? (readValue(object, value.template emplace<Index>()), true) : false) || ...);
  if (!known) {
    throwMalformed("the type number is unknown");
  }
}

template <class Members>
void readMembers(const msgpack::object_array& array, Members members) {
  std::uint32_t position = 0;
  auto readNext = [&](auto& member) {
    if (position < array.size) {
      readValue(array.ptr[position], member);
    }
    ++position;
  };
  std::apply([&readNext](auto&... member) { (readNext(member), ...); }, members);
}

template <class T>
void readValue(const msgpack::object& object, T& value) {
  if constexpr (IsVariant<T>::value) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
      throwMalformed("a typed value was expected");
    }
    readAlternative(object.via.array.ptr[1], object.via.array.ptr[0].as<std::uint32_t>(), value,
                    std::make_index_sequence<std::variant_size_v<T>>());
  } else if constexpr (HasFields<T>) {
    if (object.type != msgpack::type::ARRAY) {
      throwMalformed("a message was expected");
    }
    if constexpr (HasEncodedMemberCount<T>) {
      value.encoded_member_count = object.via.array.size;
    }
    if constexpr (HasLegacyFields<T>) {
      value.legacy_layout = object.via.array.size == std::tuple_size_v<decltype(value.legacyFields())>;
      if (value.legacy_layout) {
        readMembers(object.via.array, value.legacyFields());
        return;
      }
    }
    readMembers(object.via.array, value.fields());
  } else if constexpr (std::is_enum_v<T>) {
    value = static_cast<T>(object.as<std::int64_t>());
  } else {
    object.convert(value);
  }
}

/// Limits that reject a hostile message that claims more elements than its bytes could hold.
inline constexpr std::size_t kMaximumElements = 4'000'000;
inline constexpr std::size_t kMaximumBytes = 1'000'000'000;
inline constexpr std::size_t kMaximumDepth = 64;

}  // namespace codec_detail

/// Returns the msgpack encoding of a value.
template <class T>
std::string encode(const T& value) {
  msgpack::sbuffer buffer;
  codec_detail::Packer packer(buffer);
  codec_detail::packValue(packer, value);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes a value. Throws Error MalformedMessage.
template <class T>
T decode(std::string_view bytes) {
  try {
    using namespace codec_detail;
    const msgpack::unpack_limit limit(kMaximumElements, kMaximumElements, kMaximumBytes, kMaximumBytes,
                                      kMaximumBytes, kMaximumDepth);
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      throwMalformed("bytes follow the message");
    }
    T value{};
    readValue(handle.get(), value);
    return value;
  } catch (const msgpack::unpack_error& fault) {
    throw Error(ResultCode::MalformedMessage, fault.what());
  } catch (const msgpack::type_error& fault) {
    throw Error(ResultCode::MalformedMessage, fault.what());
  }
}

}  // namespace ferryrock::wire
