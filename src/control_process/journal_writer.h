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
#include "storage/record_journal.h"

namespace ferryrock::control_process {

/// One thread that writes a journal. A record that can't be written is dropped: the journal holds copies of
/// what other nodes know too.
class JournalWriter {
 public:
  using FailedCallback = std::function<void(std::string reason)>;

  /// on_failed runs on the dispatcher's thread, for each record or rotation that failed.
  JournalWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::RecordJournal> journal,
                FailedCallback on_failed);
  /// Writes what is queued, then ends the thread.
  ~JournalWriter();
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  /// Queues a record. Called on the dispatcher's thread, as is rotate().
  void append(std::string record);
  /// Queues RecordJournal::rotate().
  void rotate();

 private:
  /// A record to append; nullopt: a rotation.
  using Task = std::optional<std::string>;

  void submit(Task task);
  void run();
  void carryOut(const Task& task);

  event::Dispatcher& dispatcher_;
  std::unique_ptr<storage::RecordJournal> journal_;
  FailedCallback on_failed_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Task> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ferryrock::control_process
