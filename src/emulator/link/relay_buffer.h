#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace ferryrock::emulator {

/// What became of one read or write.
enum class RelayProgress { Moved, Blocked, Ended, Broken };

/// Bytes on their way in one direction, bounded. Reads are taken only once what was read before has been
/// written.
class RelayBuffer {
 public:
  static constexpr std::size_t kCapacity = 65'536;

  bool empty() const { return begin_ == end_; }
  /// Reads into the empty buffer. Ended: the sender has closed its side.
  RelayProgress readFrom(int descriptor);
  RelayProgress writeTo(int descriptor);
  /// Bytes that are still to be written.
  std::string_view unwritten() const { return {bytes_.data() + begin_, end_ - begin_}; }
  /// Puts bytes, at most kCapacity, into the empty buffer.
  void fill(std::string_view bytes);

 private:
  std::array<char, kCapacity> bytes_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace ferryrock::emulator
