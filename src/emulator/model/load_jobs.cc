#include "emulator/model/load_jobs.h"

#include <algorithm>

namespace ferryrock::emulator {

LoadJobs::LoadJobs(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects)
    : settings_(settings),
      faults_(faults),
      effects_(effects),
      memory_(settings.memory_tier_bytes),
      disk_(settings.disk_tier_bytes) {}

CheckpointTier LoadJobs::nearestTier(const Checkpoint& checkpoint) const {
  if (memory_.contains(checkpoint)) {
    return CheckpointTier::Memory;
  }
  return disk_.contains(checkpoint) ? CheckpointTier::Disk : CheckpointTier::Remote;
}

void LoadJobs::start(TimePoint now, const LoadTarget& target, const Checkpoint& checkpoint) {
  const bool under_way = std::any_of(jobs_.begin(), jobs_.end(), [&](const Job& job) {
    return job.target == target && job.checkpoint.sameAs(checkpoint);
  });
  if (under_way) {
    return;
  }
  Job job{target, checkpoint, nearestTier(checkpoint), now, {}, {}, {}, false};
  if (job.from == CheckpointTier::Remote) {
    last_transfer_ = last_transfer_.next();
    job.transfer = last_transfer_;
    effects_.push(StartTransferEffect{last_transfer_, checkpoint.model, checkpoint.bytes});
  } else {
    beginLastPhase(now, job);
  }
  jobs_.push_back(job);
}

Duration LoadJobs::lastPhase(const Job& job) const {
  const bool already_there =
      job.target.purpose == LoadPurpose::Prefetch &&
      (job.from != CheckpointTier::Disk || job.target.prefetch_to == CheckpointTier::Disk);
  if (already_there) {
    return Duration::zero();
  }
  const std::uint64_t rate =
      job.from == CheckpointTier::Disk ? settings_.disk_bytes_per_second : settings_.memory_bytes_per_second;
  Duration overhead{};
  if (job.target.purpose == LoadPurpose::Slot) {
    overhead = settings_.load_overhead;
  }
  if (job.target.purpose == LoadPurpose::Adapter) {
    overhead = settings_.adapter_overhead;
  }
  return transferTime(settings_, job.checkpoint.bytes, rate) + scaled(settings_, overhead);
}

void LoadJobs::beginLastPhase(TimePoint now, Job& job) {
  const Duration duration(
      static_cast<Duration::rep>(static_cast<double>(lastPhase(job).count()) * faults_.slow_factor));
  job.halfway = now + duration / 2;
  job.ends = now + duration;
}

template <class Condition>
void LoadJobs::cancelIf(Condition condition) {
  std::erase_if(jobs_, [&](const Job& job) {
    const bool cancelled = condition(job.target);
    if (cancelled && job.transfer) {
      effects_.push(CancelTransferEffect{*job.transfer});
    }
    return cancelled;
  });
}

void LoadJobs::cancelSlot(SlotId slot) {
  cancelIf([&](const LoadTarget& target) {
    return target.purpose != LoadPurpose::Prefetch && target.slot == slot;
  });
}

void LoadJobs::cancelAdapter(SlotId slot, const ModelName& adapter) {
  cancelIf([&](const LoadTarget& target) {
    return target.purpose == LoadPurpose::Adapter && target.slot == slot && target.adapter == adapter;
  });
}

void LoadJobs::transferEnded(TimePoint now, TransferId transfer, bool succeeded) {
  for (Job& job : jobs_) {
    if (job.transfer != transfer) {
      continue;
    }
    job.transfer.reset();
    if (succeeded) {
      beginLastPhase(now, job);
    } else {
      job.failed = true;
      job.ends = now;
    }
  }
}

std::vector<FinishedLoad> LoadJobs::tick(TimePoint now) {
  std::vector<FinishedLoad> finished;
  for (const Job& job : jobs_) {
    if (faults_.crash_in_load && job.halfway && *job.halfway <= now &&
        job.target.purpose != LoadPurpose::Prefetch) {
      effects_.push(CrashEffect{});
      return {};
    }
  }
  std::erase_if(jobs_, [&](const Job& job) {
    const bool ended = job.ends && *job.ends <= now;
    if (ended) {
      finished.push_back(finish(now, job));
    }
    return ended;
  });
  return finished;
}

FinishedLoad LoadJobs::finish(TimePoint now, const Job& job) {
  const bool faulty = faults_.fail_load && job.target.purpose != LoadPurpose::Prefetch;
  FinishedLoad result{job.target, job.checkpoint, job.from, now - job.started, !job.failed && !faulty};
  if (job.failed) {
    return result;
  }
  const bool to_disk_only =
      job.target.purpose == LoadPurpose::Prefetch && job.target.prefetch_to == CheckpointTier::Disk;
  if (!to_disk_only) {
    memory_.put(job.checkpoint);
  }
  if (job.from == CheckpointTier::Remote && disk_.put(job.checkpoint)) {
    effects_.push(DiskContentsEffect{});
  }
  return result;
}

std::optional<TimePoint> LoadJobs::nextWakeup() const {
  std::optional<TimePoint> earliest;
  for (const Job& job : jobs_) {
    std::optional<TimePoint> due = job.ends;
    if (faults_.crash_in_load && job.halfway) {
      due = job.halfway;
    }
    if (due && (!earliest || *due < *earliest)) {
      earliest = due;
    }
  }
  return earliest;
}

}  // namespace ferryrock::emulator
