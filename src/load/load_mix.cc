#include "load/load_mix.h"

#include <algorithm>
#include <array>
#include <limits>

#include "common/error.h"
#include "common/random.h"
#include "common/settings_reader.h"

namespace ferryrock::load {

namespace {

constexpr std::int64_t kMaxWords = 100'000;
constexpr std::int64_t kMaxSessions = 1'000'000;
constexpr std::int64_t kMaxPriority = 1000;
constexpr double kMaxCompression = 1e6;

constexpr std::array<const char*, 12> kWords = {"compressor", "valve",  "pressure", "rotor",
                                                "plan",       "visit",  "fibre",    "slot",
                                                "address",    "filter", "order",    "report"};

IntegerRange readRange(SettingsReader& group, const std::string& key, const IntegerRange& fallback) {
  SettingsReader section = group.section(key);
  IntegerRange range;
  range.low = static_cast<std::uint32_t>(section.integer("low", 1, kMaxWords, fallback.low));
  range.high = static_cast<std::uint32_t>(
      section.integer("high", range.low, kMaxWords, std::max(range.low, fallback.high)));
  section.finish();
  return range;
}

CallerGroup readGroup(SettingsReader& reader, double idle_compression) {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  CallerGroup group;
  group.model = reader.text("model");
  group.arrivals = readArrivalProcess(reader.section("arrivals"), idle_compression);
  group.prompt_words = readRange(reader, "prompt_words", group.prompt_words);
  group.max_tokens = readRange(reader, "max_tokens", group.max_tokens);
  group.prompt_prefix = reader.text("prompt_prefix", "");
  group.sessions = static_cast<std::uint32_t>(reader.integer("sessions", 0, kMaxSessions, 0));
  group.stream_share = reader.number("stream_share", 0, 1, group.stream_share);
  group.chat_share = reader.number("chat_share", 0, 1, group.chat_share);
  group.unrepeatable_share = reader.number("unrepeatable_share", 0, 1, 0);
  group.resend_share = reader.number("resend_share", 0, 1, 0);
  group.leave_share = reader.number("leave_share", 0, 1, 0);
  group.slow_reader_share = reader.number("slow_reader_share", 0, 1, 0);
  group.leave_after = reader.duration("leave_after", milliseconds(1), hours(1), seconds(1));
  group.resend_after = reader.duration("resend_after", Duration::zero(), hours(1), seconds(2));
  group.timeout = reader.duration("timeout", milliseconds(1), hours(1), seconds(30));
  if (reader.has("priority")) {
    group.priority = static_cast<std::int32_t>(reader.integer("priority", -kMaxPriority, kMaxPriority));
  }
  reader.finish();
  return group;
}

LoadMix readMix(SettingsReader reader) {
  LoadMix mix;
  mix.length = reader.duration("length", std::chrono::milliseconds(1), std::chrono::hours(24));
  mix.seed =
      static_cast<std::uint64_t>(reader.integer("seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
  const double idle_compression = reader.number("idle_compression", 1, kMaxCompression, 1);
  for (SettingsReader& group : reader.sections("callers")) {
    mix.groups.push_back(readGroup(group, idle_compression));
  }
  reader.finish();
  if (mix.groups.empty()) {
    throw Error(ResultCode::MissingSetting, "'callers' lists nobody", reader.place());
  }
  return mix;
}

std::uint32_t draw(const IntegerRange& range, Random& random) {
  return range.low + static_cast<std::uint32_t>(random.below(range.high - range.low + 1));
}

Duration drawUpTo(Duration longest, Random& random) {
  return Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(longest.count()) + 1)));
}

/// The operation's name stands in the prompt, so that no two right answers are alike.
std::string makePrompt(const CallerGroup& group, const std::string& operation, Random& random) {
  std::string prompt = group.prompt_prefix;
  prompt += prompt.empty() ? "" : " ";
  prompt += operation;
  const std::uint32_t words = draw(group.prompt_words, random);
  for (std::uint32_t index = 0; index < words; ++index) {
    prompt += ' ';
    prompt += kWords.at(random.below(kWords.size()));
  }
  return prompt;
}

PlannedOperation planOne(const CallerGroup& group, const std::string& operation, Duration at,
                         Random& random) {
  PlannedOperation planned;
  planned.operation = operation;
  planned.at = at;
  planned.router = static_cast<std::uint32_t>(random.below(std::numeric_limits<std::uint32_t>::max()));
  planned.model = group.model;
  planned.prompt = makePrompt(group, operation, random);
  planned.max_tokens = draw(group.max_tokens, random);
  planned.stream = random.chance(group.stream_share);
  planned.chat = random.chance(group.chat_share);
  planned.timeout = group.timeout;
  planned.priority = group.priority;
  if (group.sessions > 0) {
    planned.session = group.model + "-session-" + std::to_string(random.below(group.sessions));
  }
  if (random.chance(group.unrepeatable_share)) {
    planned.key = "key-" + operation;
  }
  if (!planned.key.empty() && random.chance(group.resend_share)) {
    planned.resend_after = drawUpTo(group.resend_after, random);
  }
  if (random.chance(group.leave_share)) {
    planned.leave_after = drawUpTo(group.leave_after, random);
  }
  planned.slow_reader = planned.stream && random.chance(group.slow_reader_share);
  return planned;
}

}  // namespace

LoadMix readLoadMix(const std::string& file) {
  return readMix(SettingsReader::fromFile(file));
}

LoadMix readLoadMixText(const std::string& text, const std::string& name) {
  return readMix(SettingsReader::fromText(text, name));
}

std::vector<PlannedOperation> planOperations(const LoadMix& mix, const std::string& run_name) {
  Random random(mix.seed);
  std::vector<PlannedOperation> operations;
  for (const CallerGroup& group : mix.groups) {
    for (const Duration at : group.arrivals->arrivals(mix.length, random)) {
      const std::string operation = run_name + "-" + std::to_string(operations.size());
      operations.push_back(planOne(group, operation, at, random));
    }
  }
  std::stable_sort(
      operations.begin(), operations.end(),
      [](const PlannedOperation& left, const PlannedOperation& right) { return left.at < right.at; });
  return operations;
}

}  // namespace ferryrock::load
