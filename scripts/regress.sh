#!/usr/bin/env bash
# Scores the deployments of the users' kit, the largest first, and prints a line
# for each: its score, its gate and the mean worth of its trouble and scale days.
# Needs the kit, so CI does not run it.
#
#   scripts/regress.sh KIT [OUTPUT]
#
# KIT is the directory with the deployments, OUTPUT a directory for the full
# reports.
set -u
cd "$(dirname "$0")/.."
kit=${1:?usage: scripts/regress.sh KIT [OUTPUT]}
output=${2:-$(mktemp -d)}
jobs=${JOBS:-3}
sites=(large/cordillera-ops-large grown/cordillera-ops-grown grown/verhaeghe-rail-grown)

bench=$(find "$kit" -name fleetbench -path '*bench-*' -perm -u+x | sort | tail -n 1)
[ -n "$bench" ] || { echo "regress: no bench in $kit" >&2; exit 2; }
mkdir -p "$output"

failed=0
for site in "${sites[@]}"; do
  report=$output/$(basename "$site").txt
  "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "regression run" >"$report" 2>&1
  score=$(grep -m1 '^score on the standard days' "$report" | grep -oE '[0-9.]+$')
  gate=$(grep -m1 -oE '^GATE (passed|failed)' "$report")
  worth=$(awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $2 ~ /\// { n++; sum += $4 } END { if (n) printf "%.3f", sum / n }' "$report")
  echo "$(basename "$site"): score ${score:-none}, ${gate:-not played to its end}, mean worth with trouble ${worth:-none}, report $report"
  [ "$gate" = "GATE passed" ] || failed=1
done
exit $failed
