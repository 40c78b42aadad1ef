#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/messages.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// What is known of a stream that a call wants to resume.
struct StreamOriginAnswer {
  RequestId stream;
  std::optional<wire::StreamOrigin> origin;  ///< nullopt: no member knows it
  bool complete = true;                      ///< false: some member hasn't answered
};

/// Router side of the origins of streams; the members' side is services::StreamOriginStore. Each resumable
/// stream that begins here is reported to a few members, chosen by the stream's ID, so that its origin
/// survives this router and some members. A stream that began elsewhere is looked up at all members, of which
/// one that knows it suffices. The callers of a lost router return at once, so that queries are sent at a
/// limited rate: a member's send queue drops what exceeds it. Not thread-safe; used by one thread.
class StreamOriginClient {
 public:
  /// Records whether the member keeps origins; builds before don't.
  void onMember(const NodeName& member, bool keeps_origins);
  /// A stream begins, or goes on, at this router. It is reported now and repeatedly until onEnded().
  void onRunning(const wire::StreamOrigin& origin, TimePoint now);
  void onEnded(const RequestId& stream) { running_.erase(stream); }

  /// Returns the origin if this router knows it, as it ran the stream or asked for it of late.
  std::optional<wire::StreamOrigin> find(const RequestId& stream) const;
  /// Asks the members for the stream's origin. Returns false if there is no member to ask.
  bool ask(const RequestId& stream, TimePoint now);
  /// Applies a member's reply; returns the answer once it is decided.
  std::optional<StreamOriginAnswer> accept(const NodeName& from, const wire::StreamOriginReply& reply,
                                           TimePoint now);
  /// Returns the answers to queries whose time is over.
  std::vector<StreamOriginAnswer> tick(TimePoint now);
  /// Returns and clears the messages to members.
  std::vector<wire::SendEffect> takeMessages();
  TimePoint nextDeadline() const;

  /// Number of members that each stream is reported to.
  static constexpr std::size_t kCopies = 3;

 private:
  struct Query {
    std::optional<TimePoint> sent_at;  ///< nullopt: not sent yet
    bool repeated = false;
    std::set<NodeName> unanswered;
  };

  void remember(const wire::StreamOrigin& origin, TimePoint now);
  void forgetOld(TimePoint now);
  void report(const wire::StreamOrigin& origin);
  /// Sends the queries that wait, as far as the rate allows.
  void sendQueries(TimePoint now);

  std::set<NodeName> members_;
  std::map<RequestId, wire::StreamOrigin> known_;
  std::deque<std::pair<TimePoint, RequestId>> known_since_;  ///< oldest first
  std::set<RequestId> running_;
  TimePoint next_repetition_ = TimePoint::max();
  std::map<RequestId, Query> queries_;
  std::deque<RequestId> to_send_;  ///< queries to send or repeat, in order; some may be answered by now
  TimePoint batch_began_{};        ///< start of the current batch of queries
  std::size_t sent_in_batch_ = 0;
  std::map<NodeName, wire::StreamOrigins> reports_;  ///< not sent yet
  std::vector<wire::SendEffect> messages_;
};

}  // namespace ferryrock::calls
