#pragma once

#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/time.h"
#include "emulator/model/checkpoint_store.h"
#include "emulator/model/journal.h"

namespace ferryrock::emulator {

/// Files in one stand-in engine's data folder: the incarnation, the checkpoints on its disk and the journal.
/// With an empty folder name everything is kept in memory only. Throws Error StorageFailed or CorruptRecord.
class EngineFiles {
 public:
  explicit EngineFiles(std::string folder);
  ~EngineFiles();

  /// Raises the stored incarnation and returns it; synced before it returns.
  Incarnation nextIncarnation();
  void appendJournal(const JournalRecord& record, WallMilliseconds wall_ms);
  /// All journal lines, those of earlier incarnations included.
  std::string journal() const;
  void storeCheckpoints(const std::list<Checkpoint>& checkpoints);
  std::vector<Checkpoint> checkpoints() const;

 private:
  struct CloseFile {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  std::string path(const char* name) const { return folder_ + "/" + name; }
  void openJournal();

  std::string folder_;
  std::unique_ptr<std::FILE, CloseFile> journal_;
  Incarnation incarnation_in_memory_;
  std::deque<std::string> journal_in_memory_;
  std::vector<Checkpoint> checkpoints_in_memory_;
};

}  // namespace ferryrock::emulator
