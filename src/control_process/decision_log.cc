#include "control_process/decision_log.h"

#include <filesystem>
#include <nlohmann/json.hpp>

#include "common/logging.h"

namespace ferryrock::control_process {

DecisionLog::DecisionLog(const std::string& data_folder, std::uint64_t max_bytes)
    : file_(data_folder + "/" + kDecisionLogFile),
      earlier_file_(data_folder + "/" + kEarlierDecisionLogFile),
      max_bytes_(max_bytes),
      output_(file_, std::ios::app) {
  std::error_code unknown;
  const std::uintmax_t size = std::filesystem::file_size(file_, unknown);
  written_bytes_ = unknown ? 0 : size;
}

void DecisionLog::note(const placement::Ledger& ledger, const catalog::Catalog& catalog,
                       WallMilliseconds wall_time) {
  noteLimits(catalog, wall_time);
  noteSlots(ledger, wall_time);
}

void DecisionLog::noteSlots(const placement::Ledger& ledger, WallMilliseconds wall_time) {
  for (auto slot = ledger.slots().upper_bound(last_slot_); slot != ledger.slots().end(); ++slot) {
    writeLine(nlohmann::ordered_json{{"wall_ms", wall_time},
                                     {"slot", slot->first.value},
                                     {"model", slot->second.model.value},
                                     {"engine", slot->second.engine.value},
                                     {"incarnation", slot->second.incarnation.value}}
                  .dump());
    last_slot_ = slot->first;
  }
}

void DecisionLog::noteLimits(const catalog::Catalog& catalog, WallMilliseconds wall_time) {
  if (catalog.version() == tree_version_) {
    return;
  }
  tree_version_ = catalog.version();
  std::map<std::string, std::uint32_t> limits;
  for (const auto& [name, node] : catalog.tree().nodes()) {
    if (node.kind != wire::NodeKind::Model) {
      continue;
    }
    const auto model = catalog.tree().resolveModel(ModelName(name));
    limits[name] = model ? model->max_replicas : 0;
  }
  for (const auto& [name, limit] : limits_) {
    limits.emplace(name, 0);
  }
  for (const auto& [name, limit] : limits) {
    const auto written = limits_.find(name);
    if (written == limits_.end() || written->second != limit) {
      writeLine(nlohmann::ordered_json{{"wall_ms", wall_time},
                                       {"model", name},
                                       {"max_replicas", limit},
                                       {"tree_version", tree_version_.value}}
                    .dump());
    }
  }
  limits_ = std::move(limits);
}

void DecisionLog::writeLine(const std::string& line) {
  rotateIfFull();
  output_ << line << "\n" << std::flush;
  written_bytes_ += line.size() + 1;
  if (!output_ && !failed_) {
    failed_ = true;
    Logger("control").warning("The decision log " + file_ +
                              " can't be written; the cell goes on without it.");
  }
}

void DecisionLog::rotateIfFull() {
  if (written_bytes_ < max_bytes_) {
    return;
  }
  output_.close();
  std::error_code ignored;
  std::filesystem::rename(file_, earlier_file_, ignored);
  output_.open(file_, std::ios::trunc);
  written_bytes_ = 0;
}

}  // namespace ferryrock::control_process
