#include "http/response_cases.h"

namespace ferryrock::http {
namespace {

using namespace std::string_literals;

constexpr const char* kOk = "HTTP/1.1 200 OK\r\n";
constexpr const char* kLength = "Content-Length: 5\r\n";
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
constexpr const char* kChunks = "5\r\na:1\n\n\r\n0\r\n\r\n";

ResponseCase withField(const std::string& kind, const std::string& line, const std::string& after,
                       const std::string& body) {
  return {kind + " " + line, "", kOk, line + "\r\n" + after, body};
}

void addFields(std::vector<ResponseCase>& cases, const std::string& kind,
               const std::vector<std::string>& lines, const std::string& after, const std::string& body) {
  for (const std::string& line : lines) {
    cases.push_back(withField(kind, line, after, body));
  }
}

void addStatusLines(std::vector<ResponseCase>& cases, const std::vector<std::string>& lines) {
  for (const std::string& line : lines) {
    cases.push_back({"status line " + line, "", line + "\r\n", kLength, kCaseBody});
  }
}

void addInterimHeads(std::vector<ResponseCase>& cases, const std::vector<std::string>& heads) {
  for (const std::string& head : heads) {
    cases.push_back({"interim head " + head, head, kOk, kLength, kCaseBody});
  }
}

}  // namespace

std::vector<ResponseCase> brokenResponses() {
  std::vector<ResponseCase> cases;
  addFields(cases, "length",
            {"Content-Length: x",
             "Content-Length: 5x",
             "Content-Length: 3x",
             "Content-Length: 3 5",
             "Content-Length:",
             "Content-Length: -5",
             "Content-Length: +5",
             "Content-Length: 0x5",
             "Content-Length: 5.0",
             "Content-Length: 5, 3",
             "Content-Length: 3, 5",
             "Content-Length: 5,",
             "Content-Length: 99999999999999999999",
             "Content-Length: \"5\"",
             "Content-Length: 3\r\nContent-Length: 5",
             "Content-Length: 5\r\nContent-Length: 3",
             "Content-Length: 5\r\nContent-Length: x",
             "Content-Length 5",
             "Content-Length",
             "Content-Length : 5",
             "Content Length: 5",
             " Content-Length: 5",
             "Content-Length:\r\n 5",
             "Content-Length: 5\r\n 5",
             "Content\x01Length: 5",
             "Content-Length\x7f: 5",
             "Content-Length\t: 5",
             "Content-Length\x0b: 5",
             "Content-Length: \0015",
             "Content-Length: 5\x0b",
             "\200Content-Length: 5",
             "Content-Length\0: 5"s,
             "Content-Length: 5\0"s,
             "Content-Length: 5\r\r"},
            "", kCaseBody);
  addFields(
      cases, "coding",
      {"Transfer-Encoding: chunke", "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
       "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: chunked, chunked",
       "Transfer-Encoding: identity", "Transfer-Encoding:", "Transfer-Encoding: chunked;q=1",
       "Transfer-Encoding: chunked\r\nContent-Length: 5", "Content-Length: 15\r\nTransfer-Encoding: chunked",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding : chunked",
       "Transfer Encoding: chunked", "Transfer-Encoding chunked"},
      "", kChunks);
  cases.push_back({"coding in HTTP/1.0", "", "HTTP/1.0 200 OK\r\n", kChunked, kChunks});
  const std::vector<std::string> lines = {
      "no field",        "nofield",         ": no name",        " X-Odd: folded", "X-Odd: a\r\n folded",
      "X-Odd: a\r\n\tb", "X Odd: 1",        "X-Odd : 1",        "X-Odd\t: 1",     "X-\x7fOdd: 1",
      "X-\x80Odd: 1",    "X-\x01Odd: 1",    "X-Odd\0: 1"s,      "X-Odd: a\rb",    "X-Odd: a\0b"s,
      "X-Odd: \x01",     "X-Odd: \x7f",     "X-Odd: a\x1b[0m",  "X(Odd): 1",      "X/Odd: 1",
      "X[Odd]: 1",       "HTTP/1.1 200 OK", "HTTP/1.1 200 O:K", "\rX-Odd: 1",     "X-Odd\r: 1",
      "{\"a\": 1}",      "X-Odd=1",         "\"X-Odd\": 1",     "X,Odd: 1"};
  addFields(cases, "line before a length,", lines, kLength, kCaseBody);
  addFields(cases, "line before chunks,", lines, kChunked, kChunks);
  addFields(cases, "line without a length,", lines, "", kCaseBody);
  addStatusLines(cases, {"HTTP/1.1 000 OK",
                         "HTTP/1.1 001 OK",
                         "HTTP/1.1 099 OK",
                         "HTTP/1.1 20 OK",
                         "HTTP/1.1 2 OK",
                         "HTTP/1.1 2000 OK",
                         "HTTP/1.1 600 OK",
                         "HTTP/1.1 999 OK",
                         "HTTP/1.1 101 Switching",
                         "HTTP/1.1 -20 OK",
                         "HTTP/1.1 2x0 OK",
                         "HTTP/1.1 OK",
                         "HTTP/1.1",
                         "HTTP/1.1  200 OK",
                         "HTTP/1.1\t200 OK",
                         "HTTP/1.1200 OK",
                         "HTTP/1.1 200OK",
                         "HTTP/11 200 OK",
                         "HTTP/2 200 OK",
                         "HTTP/1 200 OK",
                         "HTTP/0.9 200 OK",
                         "ICY 200 OK",
                         "http/1.1 200 OK",
                         " HTTP/1.1 200 OK",
                         "HTTP/1.1 200 O\x01K",
                         "HTTP/1.1 200 O\0K"s,
                         "HTTP/1.1 200\rOK",
                         "garbage"});
  addInterimHeads(cases,
                  {"HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nno field\r\n\r\n",
                   "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n",
                   "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "HTTP/1.1 101 Switching\r\nUpgrade: h2c\r\n\r\n", "HTTP/1.1 000 None\r\n\r\n",
                   "HTTP/1.1 099 None\r\n\r\n", "\r\n"});
  for (const std::string trailer : {"X Odd: 1", "no field", " X-Odd: 1", "X-Odd\x01: 1", "X-Odd: a\001b"}) {
    cases.push_back(
        {"trailer " + trailer, "", kOk, kChunked, "5\r\na:1\n\n\r\n0\r\n" + trailer + "\r\n\r\n"});
  }
  return cases;
}

std::vector<ResponseCase> oddSoundResponses() {
  std::vector<ResponseCase> cases;
  addFields(cases, "length",
            {"content-length: 5", "CONTENT-LENGTH:5", "Content-Length: \t 5 \t", "Content-Length: 005",
             "Content-Length: 5, 5", "Content-Length: 5\r\nContent-Length: 5"},
            "", kCaseBody);
  addFields(cases, "coding",
            {"transfer-encoding:CHUNKED", "Transfer-Encoding: ,chunked", "Transfer-Encoding: chunked "}, "",
            kChunks);
  const std::vector<std::string> lines = {"X-Odd:",
                                          "X-Odd: \t",
                                          "X-Odd: \xc3\xa4\xff",
                                          "X-Odd: a\tb",
                                          "X-Odd: a:b;c=\"d\",{e}\\",
                                          "!#$%&'*+-.^_`|~09azAZ: 1",
                                          "X-Odd: 1\r\nX-Odd: 2",
                                          "x: " + std::string(8000, 'v'),
                                          "X-Odd: HTTP/1.1 200 OK",
                                          "Connection: close",
                                          "Keep-Alive: timeout=5, max=9"};
  addFields(cases, "line before a length,", lines, kLength, kCaseBody);
  addFields(cases, "line before chunks,", lines, kChunked, kChunks);
  addFields(cases, "line without a length,", lines, "", kCaseBody);
  addStatusLines(cases, {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 \xc3\xa4", "HTTP/1.1 200 a  b: c",
                         "HTTP/1.0 200 OK", "HTTP/1.1 299 Odd", "HTTP/1.1 599 Odd"});
  addInterimHeads(cases,
                  {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Odd: 1\r\n\r\n",
                   "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n",
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"});
  cases.push_back({"no length in HTTP/1.0", "", "HTTP/1.0 200 OK\r\n", "", kCaseBody});
  cases.push_back(
      {"line ends without CR", "", "HTTP/1.1 200 OK\n", "Content-Length: 5\nX-Odd: 1\n", kCaseBody});
  cases.push_back({"trailers", "", kOk, kChunked, "5\r\na:1\n\n\r\n0\r\nX-Odd: 1\r\nX-Empty:\r\n\r\n"});
  cases.push_back({"chunk extensions", "", kOk, kChunked, "2;a=b\r\na:\r\n3;c\r\n1\n\n\r\n0\r\n\r\n"});
  return cases;
}

}  // namespace ferryrock::http
