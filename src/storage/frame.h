#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Frames are the unit of writing and syncing: a frame is recovered as a whole or not at all. A frame is a
/// header of kFrameHeaderBytes (magic, payload size, number, XXH3 checksum over number, size and payload;
/// little-endian) followed by the payload.
namespace ferryrock::storage {

inline constexpr std::size_t kFrameHeaderBytes = 24;

struct Frame {
  std::uint64_t number = 0;
  std::uint64_t offset = 0;  ///< byte offset in the file
  std::string_view payload;  ///< view into the scanned bytes
};

struct FrameScan {
  std::vector<Frame> frames;
  std::uint64_t valid_bytes = 0;             ///< size of the prefix that consists of valid frames
  std::optional<std::uint64_t> later_frame;  ///< offset of the first valid frame after damage
};

/// Throws StorageFailed for a payload of 4 GiB or more.
std::string encodeFrame(std::uint64_t number, std::string_view payload);

/// Reads frames from the start up to the first invalid one, and searches for a valid frame after it.
FrameScan scanFrames(std::string_view bytes);

}  // namespace ferryrock::storage
