#include "storage/frame.h"

#include <limits>

#include "common/error.h"
#include "common/hashing.h"

namespace ferryrock::storage {
namespace {

constexpr std::string_view kMagic = "FRF1";
constexpr std::size_t kSizeOffset = 4;
constexpr std::size_t kNumberOffset = 8;
constexpr std::size_t kChecksumOffset = 16;
constexpr unsigned kBitsPerByte = 8;

void appendInteger(std::string& bytes, std::uint64_t value, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i) {
    bytes += static_cast<char>((value >> (kBitsPerByte * i)) & 0xFFU);
  }
}

std::uint64_t readInteger(std::string_view bytes, std::size_t offset, std::size_t width) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < width; ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (kBitsPerByte * i);
  }
  return value;
}

std::uint64_t checksum(std::uint64_t number, std::string_view payload) {
  constexpr std::uint64_t kSizeFactor = 0x9E3779B97F4A7C15ULL;
  return stableHash(payload, number ^ (payload.size() * kSizeFactor));
}

/// The frame at offset; nullopt if it is incomplete or its checksum does not match.
std::optional<Frame> frameAt(std::string_view bytes, std::size_t offset) {
  const std::string_view rest = bytes.substr(offset);
  if (rest.size() < kFrameHeaderBytes || rest.substr(0, kMagic.size()) != kMagic) {
    return std::nullopt;
  }
  const std::uint64_t size = readInteger(rest, kSizeOffset, sizeof(std::uint32_t));
  if (size > rest.size() - kFrameHeaderBytes) {
    return std::nullopt;
  }
  const Frame frame{readInteger(rest, kNumberOffset, sizeof(std::uint64_t)), offset,
                    rest.substr(kFrameHeaderBytes, size)};
  if (readInteger(rest, kChecksumOffset, sizeof(std::uint64_t)) != checksum(frame.number, frame.payload)) {
    return std::nullopt;
  }
  return frame;
}

std::optional<std::uint64_t> findLaterFrame(std::string_view bytes, std::size_t from) {
  for (std::size_t at = bytes.find(kMagic, from); at != std::string_view::npos;
       at = bytes.find(kMagic, at + 1)) {
    if (frameAt(bytes, at)) {
      return at;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string encodeFrame(std::uint64_t number, std::string_view payload) {
  if (payload.size() > std::numeric_limits<std::uint32_t>::max()) {
    throw Error(ResultCode::StorageFailed,
                "a record of " + std::to_string(payload.size()) + " bytes exceeds the limit of 4 GiB - 1");
  }
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + payload.size());
  bytes += kMagic;
  appendInteger(bytes, payload.size(), sizeof(std::uint32_t));
  appendInteger(bytes, number, sizeof(std::uint64_t));
  appendInteger(bytes, checksum(number, payload), sizeof(std::uint64_t));
  bytes += payload;
  return bytes;
}

FrameScan scanFrames(std::string_view bytes) {
  FrameScan scan;
  while (scan.valid_bytes < bytes.size()) {
    const std::optional<Frame> frame = frameAt(bytes, scan.valid_bytes);
    if (!frame) {
      scan.later_frame = findLaterFrame(bytes, scan.valid_bytes + 1);
      break;
    }
    scan.frames.push_back(*frame);
    scan.valid_bytes += kFrameHeaderBytes + frame->payload.size();
  }
  return scan;
}

}  // namespace ferryrock::storage
