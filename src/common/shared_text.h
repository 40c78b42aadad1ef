#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ferryrock {

/// Immutable text whose copies share one memory.
class SharedText {
 public:
  SharedText() = default;
  SharedText(std::string text) : text_(std::make_shared<const std::string>(std::move(text))) {}
  SharedText(const char* text) : SharedText(std::string(text)) {}

  std::string_view view() const { return text_ ? std::string_view(*text_) : std::string_view(); }
  /// Never nullptr.
  const char* data() const { return text_ ? text_->data() : ""; }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }
  friend bool operator==(const SharedText& left, std::string_view right) { return left.view() == right; }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace ferryrock
