#include "common/error.h"

#include <utility>

namespace ferryrock {
namespace {

std::string sentence(ResultCode code, const std::string& detail, const std::string& place) {
  const ResultCodeInfo& info = resultCodeInfo(code);
  std::string text = std::to_string(static_cast<int>(code)) + " " + std::string(info.name) + ": " + detail;
  if (!place.empty()) {
    text += " (at " + place + ")";
  }
  return text + ". " + std::string(info.remedy);
}

}  // namespace

Error::Error(ResultCode code, std::string detail, std::string place)
    : std::runtime_error(sentence(code, detail, place)),
      code_(code),
      detail_(std::move(detail)),
      place_(std::move(place)) {}

}  // namespace ferryrock
