#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

/// Stand-in callers: open-loop load, traces, and an audit of what callers saw against what engines ran.
namespace ferryrock::load {

/// How a call ended, as the caller saw it.
enum class CallEnd : std::uint8_t {
  Answered,  ///< a whole answer, a refusal, or an error that the answer itself states
  Cut,       ///< the connection broke before the answer ended
  TimedOut,  ///< the caller's own patience ended, some time after the deadline
  Left,      ///< the caller hung up on purpose
};

/// One HTTP call of a caller. An operation is what the caller wants done; after a broken connection the
/// caller calls again for the same operation, at another router.
struct CallRecord {
  std::string operation;   ///< identifier of the caller's wish; unique in one run
  std::uint32_t call = 0;  ///< number of the call within the operation, from 0
  std::string router;      ///< base URL
  std::string request_id;  ///< X-Request-Id of the answer; empty if none came
  std::string key;         ///< Idempotency-Key; empty for a request that may be repeated
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  bool slow_reader = false;  ///< the caller read its stream slowly on purpose
  WallMilliseconds sent_ms = 0;
  WallMilliseconds deadline_ms = 0;
  std::optional<WallMilliseconds> first_token_ms;
  WallMilliseconds end_ms = 0;
  CallEnd end = CallEnd::Answered;
  int status = 0;          ///< HTTP status; 0 if none came
  std::string outcome;     ///< X-Ferryrock-Outcome: "ran", "not-run" or "unknown"; empty if none came
  int code = 0;            ///< result code of a refusal or error
  std::string text;        ///< generated text that was received
  bool whole = false;      ///< the answer claimed to be complete
  std::uint32_t ends = 0;  ///< ends of an answer that were seen; more than one is an answer given twice
  bool unsent = false;     ///< the connection broke before any byte of the request left
  std::string failure;     ///< why the connection broke; for people
};

/// One line of JSON, without the newline.
std::string toJsonLine(const CallRecord& record);
/// Throws Error MalformedBody; place names the line in errors.
CallRecord callRecordFromJson(const std::string& line, const std::string& place);
/// Reads a file of JSON lines. Throws Error UnreadableFile or MalformedBody.
std::vector<CallRecord> readCallRecords(const std::string& file);

}  // namespace ferryrock::load
