#!/usr/bin/env bash
# Runs the case "resume": exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hawthornrail ] && [ -x target/review-standin ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout -k 2 118 target/review-standin resume review/4
code=$?
[ "$code" -le 2 ] || exit 2
exit "$code"
