#include "storage/memory_file_system.h"

#include <algorithm>
#include <utility>

#include "common/error.h"

namespace ferryrock::storage {

struct MemoryDisk::File {
  std::string current;
  std::string durable;
  bool only_appended = true;  ///< durable is a prefix of current
};

class MemoryFileSystem : public FileSystem {
 public:
  explicit MemoryFileSystem(MemoryDisk& disk) : disk_(disk) {}
  ~MemoryFileSystem() override { disk_.open_ = false; }
  MemoryFileSystem(const MemoryFileSystem&) = delete;
  MemoryFileSystem& operator=(const MemoryFileSystem&) = delete;

  std::vector<std::string> list() override {
    std::vector<std::string> names;
    for (const auto& [name, file] : disk_.names_) {
      names.push_back(name);
    }
    return names;
  }

  bool exists(const std::string& path) override { return disk_.names_.contains(path); }

  std::string read(const std::string& path) override { return file(path).current; }

  void append(const std::string& path, std::string_view bytes) override {
    disk_.countOperation();
    if (!exists(path)) {
      disk_.changeNames({{path, std::make_shared<MemoryDisk::File>()}});
    }
    std::string_view fitting = bytes;
    if (disk_.capacity_ && disk_.bytes() + bytes.size() > *disk_.capacity_) {
      fitting = bytes.substr(0, bytes.size() / 2);
    }
    file(path).current += fitting;
    if (fitting.size() < bytes.size()) {
      throw Error(ResultCode::DiskFull, "writing failed: the simulated disk is full", path);
    }
  }

  void truncate(const std::string& path, std::uint64_t size) override {
    disk_.countOperation();
    MemoryDisk::File& changed = file(path);
    changed.current.resize(size);
    changed.only_appended &= size >= changed.durable.size();
  }

  void sync(const std::string& path) override {
    disk_.countOperation();
    if (disk_.syncs_fail_) {
      throw Error(ResultCode::SyncFailed, "syncing failed: simulated fault", path);
    }
    MemoryDisk::File& synced = file(path);
    if (synced.only_appended) {
      synced.durable.append(synced.current, synced.durable.size());
    } else {
      synced.durable = synced.current;
    }
    synced.only_appended = true;
    ++disk_.syncs_;
  }

  void rename(const std::string& from, const std::string& to) override {
    disk_.countOperation();
    file(from);
    disk_.changeNames({{to, disk_.names_.at(from)}, {from, nullptr}});
  }

  void remove(const std::string& path) override {
    disk_.countOperation();
    file(path);
    disk_.changeNames({{path, nullptr}});
  }

  void syncFolder() override {
    disk_.countOperation();
    if (disk_.syncs_fail_) {
      throw Error(ResultCode::SyncFailed, "syncing the folder failed: simulated fault");
    }
    disk_.unsynced_name_changes_.clear();
    disk_.durable_names_ = disk_.names_;
    ++disk_.syncs_;
  }

 private:
  MemoryDisk::File& file(const std::string& path) {
    const auto found = disk_.names_.find(path);
    if (found == disk_.names_.end()) {
      throw Error(ResultCode::StorageFailed, "the file does not exist", path);
    }
    return *found->second;
  }

  MemoryDisk& disk_;
};

MemoryDisk::MemoryDisk(std::uint64_t seed) : random_(seed) {}
MemoryDisk::~MemoryDisk() = default;

std::unique_ptr<FileSystem> MemoryDisk::open() {
  if (open_) {
    throw Error(ResultCode::DataFolderLocked, "another process uses the data folder");
  }
  open_ = true;
  return std::make_unique<MemoryFileSystem>(*this);
}

void MemoryDisk::crash() {
  const std::uint64_t surviving = random_.below(unsynced_name_changes_.size() + 1);
  for (std::uint64_t i = 0; i < surviving; ++i) {
    apply(unsynced_name_changes_[i], durable_names_);
  }
  unsynced_name_changes_.clear();
  names_ = durable_names_;
  for (auto& [name, file] : names_) {
    loseUnsynced(*file);
  }
  operations_left_.reset();
}

void MemoryDisk::wipe() {
  names_.clear();
  durable_names_.clear();
  unsynced_name_changes_.clear();
  operations_left_.reset();
}

void MemoryDisk::crashAfter(std::uint64_t operations) {
  operations_left_ = operations;
}

void MemoryDisk::setCapacity(std::optional<std::uint64_t> bytes) {
  capacity_ = bytes;
}

void MemoryDisk::setSyncsFail(bool fail) {
  syncs_fail_ = fail;
}

void MemoryDisk::damage(const std::string& path, std::uint64_t byte) {
  File& file = *names_.at(path);
  file.current.at(byte) ^= 1;
  file.durable = file.current;
}

std::uint64_t MemoryDisk::bytes() const {
  std::uint64_t total = 0;
  for (const auto& [name, file] : names_) {
    total += file->current.size();
  }
  return total;
}

void MemoryDisk::countOperation() {
  if (!operations_left_) {
    return;
  }
  if (*operations_left_ == 0) {
    throw DiskCrashed();
  }
  --*operations_left_;
}

void MemoryDisk::changeNames(NameOperation operation) {
  apply(operation, names_);
  unsynced_name_changes_.push_back(std::move(operation));
}

void MemoryDisk::apply(const NameOperation& operation, Names& names) {
  for (const NameChange& change : operation) {
    if (change.target) {
      names[change.name] = change.target;
    } else {
      names.erase(change.name);
    }
  }
}

void MemoryDisk::loseUnsynced(File& file) {
  if (!file.only_appended) {
    file.current = random_.chance(0.5) ? file.current : file.durable;
  } else if (file.current.size() > file.durable.size()) {
    ++torn_writes_;
    const std::uint64_t unsynced = file.current.size() - file.durable.size();
    const std::uint64_t kept = random_.below(unsynced + 1);
    file.current.resize(file.durable.size() + kept);
    if (kept > 0 && random_.chance(0.5)) {
      const std::uint64_t damaged = file.durable.size() + random_.below(kept);
      std::fill(file.current.begin() + static_cast<std::ptrdiff_t>(damaged), file.current.end(), '\0');
    }
  }
  file.durable = file.current;
  file.only_appended = true;
}

}  // namespace ferryrock::storage
