#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "event/dispatcher.h"
#include "storage/log_storage.h"

namespace ferryrock::control_process {

/// One thread that writes and syncs. All writes that queued up while a sync ran share the next one (group
/// commit).
class StorageWriter {
 public:
  using PersistedCallback = std::function<void(std::uint64_t sequence)>;
  using FailedCallback = std::function<void(std::string reason)>;

  using RecoveredCallback = std::function<void()>;

  /// The callbacks run on the dispatcher's thread. After a failure nothing more is written.
  StorageWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::LogStorage> storage,
                PersistedCallback on_persisted, FailedCallback on_failed);
  /// After a failure the folder is mended and what wasn't written is tried again, with pauses, until it
  /// holds. on_failed tells of the first failure in a row, on_recovered of its end.
  StorageWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::LogStorage> storage,
                PersistedCallback on_persisted, FailedCallback on_failed, RecoveredCallback on_recovered,
                Duration retry_pause);
  /// Writes what is queued, then ends the thread.
  ~StorageWriter();
  StorageWriter(const StorageWriter&) = delete;
  StorageWriter& operator=(const StorageWriter&) = delete;

  /// Called on the dispatcher's thread.
  void submit(consensus::PersistEffect write);

 private:
  void run();
  bool persist(const std::vector<consensus::PersistEffect>& writes);
  /// False: the writer is stopping.
  bool persistAgain();
  bool pause();

  event::Dispatcher& dispatcher_;
  std::unique_ptr<storage::LogStorage> storage_;
  PersistedCallback on_persisted_;
  FailedCallback on_failed_;
  RecoveredCallback on_recovered_;
  std::optional<Duration> retry_pause_;  ///< none: a failure is final
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<consensus::PersistEffect> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ferryrock::control_process
