#!/usr/bin/env bash
# The program refuses settings that it can't start with: a coded sentence and a non-zero exit.
#   program_test.sh PROGRAM
set -uo pipefail
program=$1
folder=$(mktemp -d)
trap 'chmod -R u+rwx "$folder"; rm -rf "$folder"' EXIT
unset FERRYROCK_SETTINGS
failed=0

# refused NAME CODE ARGUMENTS...: the program must fail and name the code.
refused() {
  local name=$1 code=$2 output status
  shift 2
  output=$(timeout 20 "$program" "$@" 2>&1)
  status=$?
  if [[ $status -eq 0 || $status -eq 124 || $output != *"$code"* ]]; then
    echo "$name: exit $status, expected code $code in: $output"
    failed=1
  fi
}

cat > "$folder/router.yaml" <<'TEXT'
node: edge-1
host: 127.0.0.1
internal_port: 0
seeds: ["127.0.0.1:1"]
listen_calls: 127.0.0.1:0
listen_status: 127.0.0.1:0
TEXT
refused "no settings" 4005 router
refused "unknown role" 4008 gate --settings "$folder/router.yaml"
refused "no such file" 4006 router --settings "$folder/none.yaml"
sed 's/node:/nodee:/' "$folder/router.yaml" > "$folder/unknown.yaml"
refused "unknown field" 400 router --settings "$folder/unknown.yaml"
echo 'node: [' > "$folder/broken.yaml"
refused "broken file" 4007 router --settings "$folder/broken.yaml"
sed 's/127.0.0.1:0/192.0.2.1:9/' "$folder/router.yaml" > "$folder/address.yaml"
refused "address of another machine" 4009 router --settings "$folder/address.yaml"
cat > "$folder/control.yaml" <<TEXT
node: core-1
host: 127.0.0.1
internal_port: 0
seeds: ["127.0.0.1:1"]
listen_control: 127.0.0.1:0
listen_directory: 127.0.0.1:0
data_folder: /proc/none
TEXT
refused "data folder that can't be made" 500 control --settings "$folder/control.yaml"
# Guards against a signal to reload that ends a process which is still starting: it waits for its settings here.
mkfifo "$folder/slow.yaml"
"$program" router --settings "$folder/slow.yaml" > "$folder/slow.txt" 2>&1 &
starting=$!
sleep 1
kill -HUP "$starting"
sleep 0.5
if kill -0 "$starting" 2> /dev/null; then
  cat "$folder/router.yaml" > "$folder/slow.yaml"
  for _ in $(seq 100); do
    grep -q process.started "$folder/slow.txt" && break
    sleep 0.1
  done
  grep -q process.started "$folder/slow.txt" || { echo "reload while starting: it never started"; failed=1; }
  kill -KILL "$starting"
else
  echo "reload while starting: the process ended"
  failed=1
fi
"$program" --help > /dev/null || failed=1
"$program" --version | grep -q '^ferryrock ' || failed=1
exit $failed
