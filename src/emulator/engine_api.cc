#include "emulator/engine_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "common/error.h"
#include "emulator/engine_json.h"
#include "emulator/http_answers.h"
#include "emulator/inference_json.h"
#include "emulator/json_fields.h"
#include "http/error_body.h"

namespace ferryrock::emulator {
namespace {

constexpr std::uint64_t kMaxWaitMs = 600'000;
/// Lets the answer that announces a crash leave before it.
constexpr Duration kCrashDelay = std::chrono::milliseconds(20);
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kBlocksPath = "/kv/blocks/";

/// Swallows an answer that a cut control connection never brings.
class DiscardingWriter : public http::ResponseWriter {
 public:
  void respond(int, http::Headers, std::string) override {}
  void start(int, http::Headers) override {}
  void write(std::string_view) override {}
  void finish() override {}
  void abort() override {}
  std::size_t bufferedBytes() const override { return 0; }
  void onClosed(event::Callback) override {}
  void onDrained(event::Callback) override {}
};

}  // namespace

EngineApi::EngineApi(event::Dispatcher& dispatcher, http::Client& client, EngineHostSettings settings,
                     std::function<void()> on_crash)
    : host_(dispatcher, client, std::move(settings)),
      polls_(dispatcher, host_),
      imports_(dispatcher, client, host_),
      crash_timer_(dispatcher.createTimer([this] { host_.crash(); })) {
  host_.setCallbacks({[this] { polls_.onStateChanged(); }, std::move(on_crash)});
}

void EngineApi::cutAll() {
  polls_.abortAll();
  imports_.abortAll();
  for (const http::ResponseWriterPtr& writer : std::exchange(unanswered_, {})) {
    writer->abort();
  }
  host_.cutReaders();
}

void EngineApi::restart() {
  cutAll();
  faults_ = {};
  host_.restart();
}

const std::vector<EngineApi::Path>& EngineApi::paths() {
  static const std::vector<Path> kPaths = {
      {"POST", "/v1/chat/completions", false, PathKind::Inference, &EngineApi::chatCompletions},
      {"POST", "/v1/completions", false, PathKind::Inference, &EngineApi::completions},
      {"GET", "/v1/models", false, PathKind::Other, &EngineApi::models},
      {"GET", "/v1/streams/", true, PathKind::Other, &EngineApi::resumeStream},
      {"DELETE", "/v1/streams/", true, PathKind::Other, &EngineApi::cancelStream},
      {"POST", "/kv/export", false, PathKind::Other, &EngineApi::kvExport},
      {"GET", "/kv/blocks/", true, PathKind::Other, &EngineApi::kvBlocks},
      {"POST", "/kv/import", false, PathKind::Other, &EngineApi::kvImport},
      {"GET", "/cache-events", false, PathKind::Other, &EngineApi::cacheEvents},
      {"POST", "/control/fence", false, PathKind::Control, &EngineApi::fence},
      {"GET", "/control/state", false, PathKind::Control, &EngineApi::state},
      {"POST", "/control/orders", false, PathKind::Control, &EngineApi::orders},
      {"POST", "/admin/faults", false, PathKind::Other, &EngineApi::setFaults},
      {"GET", "/admin/journal", false, PathKind::Other, &EngineApi::journal},
      {"GET", "/healthz", false, PathKind::Other, &EngineApi::health},
      {"GET", "/readyz", false, PathKind::Other, &EngineApi::health},
  };
  return kPaths;
}

void EngineApi::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  bool path_known = false;
  for (const Path& path : paths()) {
    const std::string_view expected = path.path;
    const bool matches = path.is_prefix ? request.path.starts_with(expected) : request.path == expected;
    path_known = path_known || matches;
    if (matches && request.method == path.method) {
      serve(path, request, writer);
      return;
    }
  }
  respondError(writer, path_known ? ResultCode::MethodNotAllowed : ResultCode::UnknownPath, request.path);
}

void EngineApi::serve(const Path& path, const http::Request& request, const http::ResponseWriterPtr& writer) {
  try {
    if (path.kind == PathKind::Control && faults_.cut_control) {
      serveWhileCut(path, request, writer);
    } else {
      (this->*path.handler)(request, writer);
    }
  } catch (const Error& error) {
    http::Headers headers = jsonHeaders();
    if (path.kind == PathKind::Inference) {
      headers.push_back({"X-Engine-Admitted", "false"});
    }
    writer->respond(resultCodeInfo(error.code()).http_status, headers,
                    http::errorBody(error.code(), error.detail()));
  }
}

void EngineApi::serveWhileCut(const Path& path, const http::Request& request,
                              const http::ResponseWriterPtr& writer) {
  if (faults_.cut_control_process) {
    (this->*path.handler)(request, std::make_shared<DiscardingWriter>());
  }
  unanswered_.push_back(writer);
  writer->onClosed([this, identity = std::weak_ptr(writer)] { std::erase(unanswered_, identity.lock()); });
}

void EngineApi::chatCompletions(const http::Request& request, const http::ResponseWriterPtr& writer) {
  infer(request, writer, AnswerForm::Chat);
}

void EngineApi::completions(const http::Request& request, const http::ResponseWriterPtr& writer) {
  infer(request, writer, AnswerForm::Completion);
}

void EngineApi::infer(const http::Request& request, const http::ResponseWriterPtr& writer, AnswerForm form) {
  const EngineSettings& settings = host_.model().settings();
  const AttemptId fallback("direct-" + settings.name.value + "-" +
                           std::to_string(host_.model().incarnation().value) + "-" +
                           std::to_string(++direct_attempts_));
  ParsedInference parsed = parseInference(request, form, fallback, settings.max_tokens);
  const ReaderId reader = host_.addReader(writer, parsed.stream);
  host_.model().submit(host_.now(), reader, std::move(parsed.request));
  host_.settle();
}

void EngineApi::models(const http::Request&, const http::ResponseWriterPtr& writer) {
  nlohmann::json list = nlohmann::json::array();
  const auto add = [&](const ModelName& name) { list.push_back({{"id", name.value}, {"object", "model"}}); };
  for (const control::HeldSlot& slot : host_.model().state().slots) {
    if (slot.state == control::HeldState::Ready) {
      add(slot.model);
      std::for_each(slot.adapters.begin(), slot.adapters.end(), add);
    }
  }
  respondJson(writer, kStatusOk, dumpJson(nlohmann::json{{"object", "list"}, {"data", std::move(list)}}));
}

void EngineApi::resumeStream(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const AttemptId attempt = parseAttemptId(request.path.substr(kStreamsPath.size()));
  const std::uint64_t from = queryNumber(request, "from", 0);
  const ReaderId reader = host_.addReader(writer, true);
  host_.model().resume(host_.now(), reader, attempt, from);
  host_.settle();
}

void EngineApi::cancelStream(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const AttemptId attempt = parseAttemptId(request.path.substr(kStreamsPath.size()));
  const bool cancelled = host_.model().cancel(host_.now(), attempt);
  host_.settle();
  respondJson(writer, kStatusOk, dumpJson(nlohmann::json{{"cancelled", cancelled}}));
}

void EngineApi::kvExport(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const AttemptId attempt = parseAttemptId(JsonFields(request.body).text("attempt"));
  const std::optional<CacheExport> exported = host_.model().exportCache(attempt);
  if (!exported) {
    throw Error(ResultCode::StreamBroken, "the engine doesn't know this attempt any more");
  }
  respondJson(writer, kStatusOk,
              dumpJson(nlohmann::json{{"handle", attempt.value}, {"tokens", exported->tokens}}));
}

void EngineApi::kvBlocks(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const AttemptId attempt = parseAttemptId(request.path.substr(kBlocksPath.size()));
  const std::optional<CacheExport> exported = host_.model().exportCache(attempt);
  if (!exported) {
    throw Error(ResultCode::StreamBroken, "the engine doesn't know this attempt any more");
  }
  respondJson(writer, kStatusOk, formatCacheExport(*exported));
}

void EngineApi::kvImport(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  const std::string source = fields.text("source");
  imports_.start(writer, source, parseAttemptId(fields.text("handle")).value);
}

void EngineApi::cacheEvents(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const std::uint64_t after = queryNumber(request, "after", 0);
  respondJson(writer, kStatusOk, formatCacheEvents(host_.model().cacheEvents(host_.now(), after)));
}

void EngineApi::answerControl(const http::ResponseWriterPtr& writer, const control::EngineAnswer& answer,
                              int status) {
  if (answer.code == ResultCode::Ok) {
    respondJson(writer, status, formatState(*answer.state, host_.model().role()));
    return;
  }
  respondJson(writer, resultCodeInfo(answer.code).http_status,
              formatOrderRefusal(answer.code, answer.state->highest_fence));
}

void EngineApi::fence(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const control::EngineAnswer answer = host_.model().raiseFence(host_.now(), parseFence(request.body));
  host_.settle();
  answerControl(writer, answer, kStatusOk);
}

void EngineApi::state(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const std::uint64_t after = queryNumber(request, "after_version", 0);
  const std::uint64_t wait_ms = std::min(queryNumber(request, "wait_ms", 0), kMaxWaitMs);
  polls_.add(writer, after, std::chrono::milliseconds(wait_ms));
}

void EngineApi::orders(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const control::EngineAnswer answer = host_.model().order(host_.now(), parseOrder(request.body));
  host_.settle();
  answerControl(writer, answer, kStatusAccepted);
}

void EngineApi::setFaults(const http::Request& request, const http::ResponseWriterPtr& writer) {
  faults_ = applyFaultRequest(faults_, request.body);
  if (!faults_.cut_control) {
    for (const http::ResponseWriterPtr& held : std::exchange(unanswered_, {})) {
      held->abort();
    }
  }
  host_.model().setFaults(host_.now(), faults_.model);
  respondJson(writer, kStatusOk, "{}");
  host_.settle();
  if (faults_.crash_now) {
    crash_timer_->enable(kCrashDelay);
  }
}

void EngineApi::journal(const http::Request&, const http::ResponseWriterPtr& writer) {
  writer->respond(kStatusOk, {{"Content-Type", "application/jsonl"}}, host_.journal());
}

void EngineApi::health(const http::Request&, const http::ResponseWriterPtr& writer) {
  respondJson(writer, kStatusOk, R"({"status":"ok"})");
}

}  // namespace ferryrock::emulator
