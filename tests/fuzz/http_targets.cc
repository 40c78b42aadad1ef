#include <algorithm>

#include "fuzz_target.h"
#include "http/response_head.h"

namespace ferryrock::fuzz {
namespace {

http::ResponseHead readHead(std::string_view bytes) {
  http::ResponseHead head;
  while (!bytes.empty() && !head.complete()) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size() - 1);
    if (!head.addLine(bytes.substr(0, end + 1))) {
      break;
    }
    bytes.remove_prefix(end + 1);
  }
  return head;
}

std::string writtenAgain(const http::ResponseHead& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status()) + " OK\r\n";
  for (const http::Header& header : head.headers()) {
    text += header.name + ": " + header.value + "\r\n";
  }
  return text + "\r\n";
}

bool sameHeads(const http::ResponseHead& left, const http::ResponseHead& right) {
  bool same = left.status() == right.status() && left.contentLength() == right.contentLength() &&
              left.headers().size() == right.headers().size();
  for (std::size_t i = 0; same && i < left.headers().size(); ++i) {
    same = left.headers()[i].name == right.headers()[i].name &&
           left.headers()[i].value == right.headers()[i].value;
  }
  return same;
}

}  // namespace

bool runResponseHead(std::string_view bytes) {
  const http::ResponseHead head = readHead(bytes);
  if (!head.complete()) {
    return false;
  }
  const http::ResponseHead again = readHead(writtenAgain(head));
  if (!again.complete() || !sameHeads(head, again)) {
    throw PromiseBroken("a head that was accepted reads otherwise once it is written again");
  }
  return true;
}

std::vector<std::string> responseHeadSeeds() {
  return {"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\nX-Odd: \xc3\xa4 b\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.0 404\nX-Empty:\n\n"};
}

}  // namespace ferryrock::fuzz
