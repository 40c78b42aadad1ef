#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "http/http.h"
#include "platform/soak/soak_limit_judge.h"
#include "platform/soak/soak_links.h"
#include "platform/soak/soak_loss_judge.h"
#include "platform/soak/soak_notice_oracle.h"
#include "platform/soak/soak_oracle.h"
#include "platform/soak/soak_part_judge.h"
#include "platform/soak/soak_reach_judge.h"
#include "platform/soak/soak_retry_judge.h"
#include "platform/soak/soak_stream_judge.h"
#include "platform/soak/soak_trouble.h"

namespace ferryrock::platform {

struct SoakAddresses {
  std::vector<std::string> control;    ///< "host:port" each
  std::vector<std::string> directory;  ///< likewise
};

/// What the parts of the world share.
struct SoakContext {
  event::Dispatcher& dispatcher;
  http::Client& client;
  SoakOracle& oracle;
  SoakNoticeOracle& notices;
  SoakLimitJudge& limits;
  SoakLossJudge& losses;
  SoakReachJudge& reach;
  SoakRetryJudge& retries;
  SoakStreamJudge& streams;
  SoakPartJudge& parts;
  SoakLinks& links;
  Random& random;
  SoakAddresses addresses;

  TimePoint now() const { return dispatcher.timeSource().monotonicTime(); }
  const std::string& anyControl() { return addresses.control[random.below(addresses.control.size())]; }
  const std::string& anyDirectory() { return addresses.directory[random.below(addresses.directory.size())]; }
};

/// One HTTP call whose end is told once; follows two redirects.
class SoakCall {
 public:
  struct Result {
    int status = 0;  ///< 0: none
    bool whole = false;
    std::string body;
    std::string leaving_replica;  ///< that said in this answer that it leaves
    std::string limited_replica;  ///< that named a limit in this answer
    TimePoint head_at{};
    bool may_be_sent = false;  ///< if there is no status: whether the peer may have got the request
  };
  using Callback = std::function<void(Result)>;

  /// drop_after: the caller closes the connection after this many bytes of the body; 0: it doesn't.
  SoakCall(SoakContext& context, http::ClientRequest request, Callback callback, std::size_t drop_after = 0);

 private:
  void send(http::ClientRequest request);
  void end();

  SoakContext& context_;
  http::ClientRequest request_;
  Callback callback_;
  std::size_t drop_after_;
  Result result_;
  std::string location_;
  int redirects_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<http::ClientCall> call_;
};

/// A replica of the service "desk" or, with models, of "llm". It answers calls, fails a part of them in
/// various ways, takes orders, reports itself, and leaves when it is told to. With models, a prompt with the
/// crashing part ends it.
class SoakReplica {
 public:
  SoakReplica(SoakContext& context, std::string id, bool with_models);
  ~SoakReplica() { stopServing(); }
  SoakReplica(const SoakReplica&) = delete;
  SoakReplica& operator=(const SoakReplica&) = delete;
  const std::string& id() const { return id_; }
  /// Says that it leaves until that is acknowledged, serves on for a while, and ends.
  void leave() {
    leaving_ = true;
    stopServing();
  }
  bool ended() const { return ended_; }
  /// True as long as it isn't about to end.
  bool staysUp() const { return serving_; }

 private:
  void handle(const http::Request& request, const http::ResponseWriterPtr& response);
  /// Refuses the call unrun while it has too much work; false: it has room.
  bool shed(const http::ResponseWriterPtr& response, const std::string& id);
  /// Headers of an answer, with what a leaving replica says in each.
  http::Headers headersFor(const std::string& id, bool sealed) const;
  /// Does what the trouble says; false: none, the call is to be run.
  bool suffer(SoakTrouble trouble, const http::Request& request, const http::ResponseWriterPtr& response,
              const std::string& id, bool held_up);
  /// Keeps the call without an answer until its connection is closed.
  void hang(const http::ResponseWriterPtr& response, const std::string& id);
  void answerLate(const http::Request& request, const http::ResponseWriterPtr& response,
                  const std::string& id);
  void recordRun(const std::string& id, bool held_up);
  void run(const http::Request& request, const http::ResponseWriterPtr& response, const std::string& id);
  void stream(const http::Request& request, const http::ResponseWriterPtr& response, const std::string& id);
  /// Ends its connections and answers no more.
  void crash(const http::ResponseWriterPtr& response);
  int takeOrder(const std::string& body);
  void stopServing();
  /// Begins, changes or ends its limit now and then.
  void drawLimit();
  std::string service() const { return with_models_ ? "llm" : "desk"; }
  std::string reportBody() const;
  std::string modelsJson() const;
  void beat();
  void onBeat(const SoakCall::Result& result, bool told_leaving);

  SoakContext& context_;
  std::string id_;
  bool with_models_;
  std::string version_;  ///< of its software
  bool serving_ = true;
  std::int64_t born_;  ///< Unix milliseconds of its start; 0: it doesn't tell
  std::unique_ptr<http::Server> server_;
  std::uint16_t port_ = 0;  ///< at which the processes reach it
  std::unique_ptr<event::Timer> beat_timer_;
  std::unique_ptr<event::Timer> load_timer_;
  std::unique_ptr<event::Timer> end_timer_;
  std::unique_ptr<SoakCall> beat_;
  std::uint64_t beats_ = 0;
  std::uint64_t orders_ = 0;
  std::set<std::string> models_;
  std::optional<std::string> loading_;
  TimePoint sheds_until_{};
  std::map<std::string, http::ResponseWriterPtr> hung_;  ///< by call
  std::optional<double> limit_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool crashed_ = false;
  bool leaving_ = false;
  bool leave_acknowledged_ = false;
  bool ended_ = false;
};

/// A stream that a client takes up again after its connection broke.
struct SoakStream {
  std::string first_id;  ///< of the call that brought the first event
  std::string model;
  std::string prompt;  ///< its parts
  std::uint64_t first_part = 0;
  bool crashes = false;  ///< one of the parts crashes replicas
  std::uint64_t last_event = 0;
  int tries = 0;
};

/// A client: asks a directory now and then, sends one call after the other. It takes streams up again that
/// were broken off, at another router, and sometimes closes its connection in the middle of one. One that
/// keeps its router sends all of them over open connections to it, until a call fails without an answer.
class SoakClient {
 public:
  SoakClient(SoakContext& context, std::string name, bool keeps_router);

 private:
  void next();
  void resolve();
  void sendCall();
  SoakStream drawStream(const std::string& id);
  void onAnswer(const std::string& id, SoakKind kind, const SoakCall::Result& result);
  /// Reads the events of a stream's answer, which begin after the stream's last one.
  void readEvents(const std::string& id, const SoakCall::Result& result, SoakOutcome& outcome);
  void judgeLoss(const std::string& id, const SoakCall::Result& result);

  SoakContext& context_;
  std::string name_;
  bool keeps_router_;
  std::string router_;  ///< of the last call; empty: none, or it gave no answer
  TimePoint sent_at_{};
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<SoakCall> call_;
  std::vector<std::string> addresses_;
  TimePoint resolved_{};
  std::uint64_t calls_ = 0;
  std::optional<SoakStream> stream_;  ///< of the call under way
  bool takes_up_ = false;             ///< the next call goes on with stream_
  bool resumes_ = false;              ///< the call takes a stream up
  bool drops_ = false;                ///< the client may close the call's connection
  bool judged_ = false;               ///< the call takes a stream up that the judge counts
};

/// The operator: replaces the configuration, resends what got no clear answer, reads it back.
class SoakOperator {
 public:
  explicit SoakOperator(SoakContext& context);

 private:
  void replaceLater();
  void replace();
  void read();
  static std::string configuration(std::uint64_t version);

  SoakContext& context_;
  std::unique_ptr<event::Timer> replace_timer_;
  std::unique_ptr<event::Timer> read_timer_;
  std::unique_ptr<SoakCall> replace_;
  std::unique_ptr<SoakCall> read_;
  std::uint64_t version_ = 1;
};

}  // namespace ferryrock::platform
