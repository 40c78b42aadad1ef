#include "emulator/cache_imports.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/error.h"
#include "emulator/engine_json.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(10);
/// A larger export isn't one of a stand-in engine.
constexpr std::size_t kMaxExportBytes = 16 << 20;

}  // namespace

void CacheImports::start(const http::ResponseWriterPtr& writer, const std::string& source_url,
                         const std::string& handle) {
  const auto import = std::make_shared<Import>();
  import->writer = writer;
  imports_.push_back(import);
  const std::weak_ptr<Import> weak = import;
  http::ClientRequest request;
  request.url = source_url + "/kv/blocks/" + handle;
  request.total_timeout = kFetchTimeout;
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [weak](int status, const http::Headers&) {
    if (const ImportPtr held = weak.lock()) {
      held->status = status;
    }
  };
  callbacks.on_data = [weak](std::string_view bytes) {
    const ImportPtr held = weak.lock();
    if (held && held->body.size() + bytes.size() <= kMaxExportBytes) {
      held->body += bytes;
    }
  };
  callbacks.on_complete = [this, weak] {
    if (const ImportPtr held = weak.lock()) {
      fetched(held);
    }
  };
  callbacks.on_failure = [this, weak](http::SendProgress, const std::string& reason) {
    if (const ImportPtr held = weak.lock()) {
      fail(held, ResultCode::PeerUnreachable, reason);
    }
  };
  writer->onClosed([this, weak] {
    if (const ImportPtr held = weak.lock()) {
      imports_.remove(held);
    }
  });
  import->call = client_.send(std::move(request), std::move(callbacks));
}

void CacheImports::fetched(const ImportPtr& import) {
  if (import->status != kStatusOk) {
    fail(import, ResultCode::PeerUnreachable, "the source doesn't hold this handle");
    return;
  }
  try {
    makeWarm(import);
  } catch (const Error& error) {
    fail(import, error.code(), error.detail());
  }
}

void CacheImports::makeWarm(const ImportPtr& import) {
  const CacheExport exported = parseCacheExport(import->body);
  const std::optional<Duration> duration = host_.model().importCache(host_.now(), exported);
  host_.settle();
  if (!duration) {
    fail(import, ResultCode::UnknownModel, "no ready slot of the engine serves this model");
    return;
  }
  const std::weak_ptr<Import> weak = import;
  import->timer = dispatcher_.createTimer([this, weak, tokens = exported.tokens] {
    const ImportPtr held = weak.lock();
  imports_.remove(held);
  respondJson(held->writer, kStatusOk, dumpJson(nlohmann::json{{"tokens", tokens}}));
});
import->timer->enable(*duration);
}  // namespace ferryrock::emulator

void CacheImports::fail(const ImportPtr& import, ResultCode code, const std::string& detail) {
  imports_.remove(import);
  respondError(import->writer, code, detail);
}

void CacheImports::abortAll() {
  for (const ImportPtr& import : std::exchange(imports_, {})) {
    import->writer->abort();
  }
}

}  // namespace ferryrock::emulator
