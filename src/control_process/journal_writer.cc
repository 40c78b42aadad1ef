#include "control_process/journal_writer.h"

#include <utility>

#include "common/error.h"

namespace ferryrock::control_process {

JournalWriter::JournalWriter(event::Dispatcher& dispatcher, std::unique_ptr<storage::RecordJournal> journal,
                             FailedCallback on_failed)
    : dispatcher_(dispatcher),
      journal_(std::move(journal)),
      on_failed_(std::move(on_failed)),
      thread_([this] { run(); }) {}

JournalWriter::~JournalWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void JournalWriter::append(std::string record) {
  submit(std::move(record));
}

void JournalWriter::rotate() {
  submit(std::nullopt);
}

void JournalWriter::submit(Task task) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(task));
  }
  changed_.notify_one();
}

void JournalWriter::run() {
  while (true) {
    std::vector<Task> tasks;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      tasks.swap(queue_);
    }
    for (const Task& task : tasks) {
      carryOut(task);
    }
  }
}

void JournalWriter::carryOut(const Task& task) {
  try {
    if (task) {
      journal_->append(*task);
    } else {
      journal_->rotate();
    }
  } catch (const std::exception& fault) {
    dispatcher_.post([this, reason = std::string(fault.what())] { on_failed_(reason); });
  }
}

}  // namespace ferryrock::control_process
