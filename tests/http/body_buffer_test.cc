#include "http/body_buffer.h"

#include <catch2/catch.hpp>

namespace ferryrock::http {
namespace {

TEST_CASE("A body comes out of its buffer as it went in, whatever its size and pieces") {
  constexpr std::size_t kSizes[] = {0, 1, 65'535, 65'536, 65'537, 300'000};
  constexpr std::size_t kPieces[] = {1, 1000, 65'536, 100'000};
  for (const std::size_t size : kSizes) {
    std::string body;
    for (std::size_t i = 0; i < size; ++i) {
      body += static_cast<char>('a' + i % 23);
    }
    for (const std::size_t piece : kPieces) {
      BodyBuffer buffer;
      for (std::size_t place = 0; place < size; place += piece) {
        buffer.append(std::string_view(body).substr(place, piece));
      }
      CHECK(buffer.size() == size);
      CHECK((buffer.take() == body));
      CHECK(buffer.size() == 0);
      CHECK(buffer.take().empty());
    }
  }
}

}  // namespace
}  // namespace ferryrock::http
