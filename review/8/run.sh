#!/usr/bin/env bash
# Plays the case; review/build-2.sh and the build of the deploy file come first.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/hawthornrail ] || [ ! -x target/review2/faults ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
exec target/review2/faults memory review/8/record.txt
