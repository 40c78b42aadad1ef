#!/usr/bin/env bash
# The plan of a soak depends on its seed alone, has every kind of fault, and leaves the ends quiet.
#   plan_test.sh SOURCE
set -euo pipefail
soak=$1/tools/platform-soak

fail() {
  echo "plan_test: $1"
  exit 1
}

first=$("$soak" --plan --seconds 600 --seed 7)
[[ $first == "$("$soak" --plan --seconds 600 --seed 7)" ]] || fail "two plans of one seed differ"
[[ $first != "$("$soak" --plan --seconds 600 --seed 8)" ]] || fail "two seeds have one plan"
for kind in kill freeze stop wipe hup replace; do
  grep -q " $kind " <<< "$first" || fail "no $kind in ten minutes"
done
awk '$1 < 50 || $1 >= 5800 {exit 1}' <<< "$first" || fail "a fault in the quiet at an end"
# Between two disks that are lost, a member has ten seconds to catch up.
awk '$3 == "wipe" {if (last && $1 - last < 100) exit 1; last = $1}' <<< "$first" || fail "two disks lost at once"
! "$soak" --no-such-option 2> /dev/null || fail "an unknown option was taken"
