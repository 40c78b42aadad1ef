#!/usr/bin/env bash
# The platform's headers, paths and fields stand in platform/, deploy/ and tests/platform/ alone, and the folder stays
# small: under a twentieth of src/, no file over 300 lines.
#   names_test.sh SOURCE_FOLDER
# X-Attempt-Id and X-Deadline-Ms are names of the product's own engine protocol too, so they aren't looked for.
set -euo pipefail
cd "$1"

readonly names='X-Server-Seal|X-Not-Executed|X-Expect-Instance|X-Token-Count|X-Prompt-Prefix|Kv-Fetch|kv-events|/v1/order|/v1/report|/v1/config|/v1/resolve|/v1/instances|beatAddr|faultCounted|apiKeys|ratePerS|plainTokens|allowAnonymous|X-Tenant|X-Hold|X-Pin-Ms|X-Kv-Backup|Kv-From|pathPrefix|trafficSplit|fencingToken'
failed=0
if found=$(grep -rnE "$names" src bench tests --include='*.cc' --include='*.h' --exclude-dir=platform); then
  echo "names of the platform stand outside platform/:"
  echo "$found"
  failed=1
fi
lines() { find "$1" \( -name '*.cc' -o -name '*.h' \) -print0 | xargs -0 cat | wc -l; }
platform=$(lines platform)
product=$(lines src)
if ((20 * platform > product)); then
  echo "platform/ has $platform lines, over a twentieth of the $product lines of src/"
  failed=1
fi
while IFS= read -r file; do
  if (($(wc -l < "$file") > 300)); then
    echo "$file has over 300 lines"
    failed=1
  fi
done < <(find platform -type f)
exit $failed
