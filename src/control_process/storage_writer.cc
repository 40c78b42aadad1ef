#include "control_process/storage_writer.h"

#include <utility>

#include "common/error.h"

namespace ferryrock::control_process {

StorageWriter::StorageWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::LogStorage> storage,
                             PersistedCallback on_persisted, FailedCallback on_failed)
    : dispatcher_(dispatcher),
      storage_(std::move(storage)),
      on_persisted_(std::move(on_persisted)),
      on_failed_(std::move(on_failed)),
      thread_([this] { run(); }) {}

StorageWriter::StorageWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::LogStorage> storage,
                             PersistedCallback on_persisted, FailedCallback on_failed,
                             RecoveredCallback on_recovered, Duration retry_pause)
    : dispatcher_(dispatcher),
      storage_(std::move(storage)),
      on_persisted_(std::move(on_persisted)),
      on_failed_(std::move(on_failed)),
      on_recovered_(std::move(on_recovered)),
      retry_pause_(retry_pause),
      thread_([this] { run(); }) {}

StorageWriter::~StorageWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void StorageWriter::submit(consensus::PersistEffect write) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(write));
  }
  changed_.notify_one();
}

void StorageWriter::run() {
  while (true) {
    std::vector<consensus::PersistEffect> writes;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      writes.swap(queue_);
    }
    if (!persist(writes)) {
      return;
    }
  }
}

bool StorageWriter::persist(const std::vector<consensus::PersistEffect>& writes) {
  try {
    storage_->persist(writes);
  } catch (const std::exception& fault) {
    dispatcher_.post([this, reason = std::string(fault.what())] { on_failed_(reason); });
    if (!retry_pause_ || !persistAgain()) {
      return false;
    }
  }
  std::vector<std::uint64_t> sequences;
  sequences.reserve(writes.size());
  for (const consensus::PersistEffect& write : writes) {
    sequences.push_back(write.sequence);
  }
  dispatcher_.post([this, sequences = std::move(sequences)] {
    for (const std::uint64_t sequence : sequences) {
      on_persisted_(sequence);
    }
  });
  return true;
}

/// What remains is taken anew each time: a try may have written a part of it.
bool StorageWriter::persistAgain() {
  while (pause()) {
    try {
      const std::vector<consensus::PersistEffect> rest = storage_->unwritten();
      storage_->repair();
      storage_->persist(rest);
      dispatcher_.post([this] { on_recovered_(); });
      return true;
    } catch (const std::exception&) {
      continue;
    }
  }
  return false;
}

/// False: the writer is stopping.
bool StorageWriter::pause() {
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, *retry_pause_, [this] { return stopping_; });
}

}  // namespace ferryrock::control_process
