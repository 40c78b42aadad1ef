#include "simulation/defects.h"

#include <algorithm>

#include "common/error.h"

namespace ferryrock::simulation {

const std::vector<NamedDefect>& namedDefects() {
  static const std::vector<NamedDefect> defects = {
      {"answer-before-sync", [](Defects& all) { all.log.answer_before_sync = true; }},
      {"read-without-quorum", [](Defects& all) { all.log.read_without_quorum = true; }},
      {"ignore-disk-identity", [](Defects& all) { all.log.ignore_disk_identity = true; }},
      {"vote-without-log-check", [](Defects& all) { all.log.vote_without_log_check = true; }},
      {"commit-beyond-match", [](Defects& all) { all.log.commit_beyond_match = true; }},
      {"forget-changes-at-snapshot", [](Defects& all) { all.control.forget_changes_at_snapshot = true; }},
      {"fences-not-checked",
       [](Defects& all) {
         all.control.order_without_lease = true;  // alone it does no harm: the fences stop such orders
         all.engines_ignore_fences = true;
       }},
      {"free-on-silence", [](Defects& all) { all.control.free_on_silence = true; }},
      {"retry-without-proof", [](Defects& all) { all.router.retry_without_proof = true; }},
      {"trust-failed-resume", [](Defects& all) { all.router.trust_failed_resume = true; }},
      {"dispatch-before-claim", [](Defects& all) { all.router.dispatch_before_claim = true; }},
      {"ignore-chunk-numbers", [](Defects& all) { all.router.ignore_chunk_numbers = true; }},
      {"accept-ended-attempts", [](Defects& all) { all.router.accept_ended_attempts = true; }},
      {"expire-late", [](Defects& all) { all.router.expire_late = true; }},
  };
  return defects;
}

Defects defectsByName(const std::string& name) {
  const auto found = std::find_if(namedDefects().begin(), namedDefects().end(),
                                  [&name](const NamedDefect& defect) { return defect.name == name; });
  if (found != namedDefects().end()) {
    Defects defects;
    found->turn_on(defects);
    return defects;
  }
  std::string known;
  for (const NamedDefect& defect : namedDefects()) {
    known += " " + defect.name;
  }
  throw Error(ResultCode::InvalidArgument, "'" + name + "' is no defect; known are" + known, "--defect");
}

}  // namespace ferryrock::simulation
