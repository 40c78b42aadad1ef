#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "common/identifiers.h"
#include "event/dispatcher.h"
#include "router_process/data_folder.h"

namespace ferryrock::router_process {

/// One thread that saves the routing table. Of tables that queue up while one is written only the newest is
/// kept.
class TableWriter {
 public:
  /// Called on the dispatcher's thread once a restart can't find a lower version than this any more.
  using SavedCallback = std::function<void(TreeVersion)>;

  /// The folder is used by the writer's thread only until the writer is destroyed.
  TableWriter(event::Dispatcher& dispatcher, DataFolder& folder, SavedCallback on_saved);
  /// Writes what is queued, then ends the thread.
  ~TableWriter();
  TableWriter(const TableWriter&) = delete;
  TableWriter& operator=(const TableWriter&) = delete;

  /// Called on the dispatcher's thread.
  void save(TreeVersion version, std::string table);

 private:
  struct Table {
    TreeVersion version;
    std::string bytes;
  };

  void run();
  /// False if an older table may still be found by a restart.
  bool write(const Table& table);

  event::Dispatcher& dispatcher_;
  DataFolder& folder_;
  SavedCallback on_saved_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Table> queued_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace ferryrock::router_process
