#include "router_process/table_writer.h"

#include <utility>

#include "common/error.h"
#include "common/logging.h"

namespace ferryrock::router_process {
namespace {

const Logger& logger() {
  static const Logger instance("router");
  return instance;
}

}  // namespace

TableWriter::TableWriter(event::Dispatcher& dispatcher, DataFolder& folder, SavedCallback on_saved)
    : dispatcher_(dispatcher), folder_(folder), on_saved_(std::move(on_saved)), thread_([this] { run(); }) {}

TableWriter::~TableWriter() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void TableWriter::save(TreeVersion version, std::string table) {
  {
    const std::lock_guard lock(mutex_);
    queued_ = Table{version, std::move(table)};
  }
  changed_.notify_one();
}

void TableWriter::run() {
  while (true) {
    std::optional<Table> table;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || queued_; });
      if (!queued_) {
        return;
      }
      table = std::exchange(queued_, std::nullopt);
    }
    if (write(*table)) {
      dispatcher_.post([this, alive = alive_, version = table->version] {
        if (*alive) {
          on_saved_(version);
        }
      });
    }
  }
}

bool TableWriter::write(const Table& table) {
  try {
    folder_.saveTable(table.bytes);
    return true;
  } catch (const std::exception& fault) {
    logger().error(std::string("The routing table can't be saved: ") + fault.what());
  }
  // A restart without a table asks a leader; one with an older table would go back.
  try {
    folder_.removeTable();
    return true;
  } catch (const std::exception& fault) {
    logger().error(std::string("The old routing table can't be removed: ") + fault.what());
    return false;
  }
}

}  // namespace ferryrock::router_process
