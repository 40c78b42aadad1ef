#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/stand-ins-2/fleet_stand_ins.cc -o target/review-2/fleet-stand-ins
