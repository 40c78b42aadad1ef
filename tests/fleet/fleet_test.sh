#!/usr/bin/env bash
# Tests tools/fleet with the processes that need no product program: link, weight store, platform list.
#   fleet_test.sh PATH_OF_FLEET
set -euo pipefail

fleet=$1
work=$(mktemp -d)
checks=0
failures=0

fleetOf() {
  local which=$1
  shift
  "$fleet" "$@" --folder "$work/$which"
}

cleanUp() {
  fleetOf one down > /dev/null 2>&1 || true
  fleetOf two down > /dev/null 2>&1 || true
  rm -rf "$work"
}
trap cleanUp EXIT

# check WHAT EXPECTED ACTUAL
check() {
  checks=$((checks + 1))
  if [[ $2 != "$3" ]]; then
    failures=$((failures + 1))
    echo "FAILED: $1: expected '$2', got '$3'"
  fi
}

stateOf() { fleetOf "$1" status | awk -v name="$2" '$1 == name {print $2}'; }
idOf() { fleetOf "$1" status | awk -v name="$2" '$1 == name {print $3}'; }
urlOf() { fleetOf "$1" status | awk -v name="$2" '$1 == name {print $4}'; }

# ok if it answers, silent if nothing comes, dead if it can't be reached.
reach() {
  local result=0
  curl -sf -o /dev/null --max-time "${3:-0.4}" "$(urlOf "$1" "$2")/healthz" || result=$?
  case "$result" in
    0) echo ok ;;
    28) echo silent ;;
    *) echo dead ;;
  esac
}

# As reach, but asks again for up to 5 s: the link listens for a process again only once it has noticed its start.
reachSoon() {
  local deadline=$((SECONDS + 5)) result
  result=$(reach "$1" "$2" 5)
  while [[ $result != ok ]] && ((SECONDS < deadline)); do
    sleep 0.1
    result=$(reach "$1" "$2" 5)
  done
  echo "$result"
}

# A refused command ends with 1 and says why.
refused() {
  local result=0
  fleetOf "$@" > "$work/out" 2>&1 || result=$?
  check "fleet $* is refused" 1 "$result"
  check "fleet $* says why" yes "$(grep -q '^fleet: ' "$work/out" && echo yes || cat "$work/out")"
}

for each in one two; do
  fleetOf "$each" up --engines 0 --routers 0 --controls 0 > /dev/null
done

check "three processes run" 3 "$(fleetOf one status | grep -c running)"
check "fleets have addresses of their own" differ \
  "$([[ $(urlOf one link) != "$(urlOf two link)" ]] && echo differ || echo same)"
refused one up
refused one kill engine-9
refused one kill nobody
refused one drain platform

fleetOf one cut platform
check "a cut process is silent" silent "$(reach one platform)"
check "its namesake in the other fleet isn't" ok "$(reach two platform 5)"
fleetOf one heal platform
check "a healed process answers" ok "$(reach one platform 5)"

fleetOf one pause weight-store
check "a paused process is shown" paused "$(stateOf one weight-store)"
check "a paused process is silent" silent "$(reach one weight-store)"
fleetOf one resume weight-store
check "a resumed process answers" ok "$(reach one weight-store 5)"

before=$(idOf one platform)
fleetOf one kill platform
check "a killed process is shown" ended "$(stateOf one platform)"
check "a killed process can't be reached" dead "$(reach one platform)"
refused one pause platform
fleetOf one restart platform
check "a restarted process answers" ok "$(reachSoon one platform)"
check "it is another process" differ "$([[ $before != "$(idOf one platform)" ]] && echo differ || echo same)"
fleetOf one stop platform
check "a stopped process is shown" ended "$(stateOf one platform)"

fleetOf one fault weight-store '{"kind":"stop"}'
refused one fault weight-store '{"kind":"flood"}'

check "what was done to the fleet is on record" \
  "up cut heal pause resume kill restart stop fault" \
  "$(sed 's/.*"action":"\([a-z]*\)".*/\1/' "$work/one/faults.jsonl" | paste -sd' ' -)"
check "the other fleet is as it was" 3 "$(fleetOf two status | grep -c running)"

ids=$(fleetOf one status | awk '$3 != "-" {print $3}')
fleetOf one down > /dev/null
for id in $ids; do
  check "process $id has ended" ended "$(grep -qs '^State:[[:space:]]*[^Z[:space:]]' "/proc/$id/status" && echo runs || echo ended)"
done
refused one status

echo "fleet: $checks checks, $failures failed"
[[ $failures -eq 0 ]]
