#!/usr/bin/env bash
# Plays days of one deployment of the users' kit with two versions of the code
# and the same seeds, and prints by how much their worth differs. Processor time
# is not charged, so that a play mostly repeats. Needs the kit, so CI does not
# run it.
#
#   scripts/compare.sh [--seeds N] KIT OLD NEW SITE [DAY...]
#
# KIT is the directory with the deployments, SITE a deployment below it, such as
# further/teyit-hat. OLD and NEW are commits, or directories that hold a clone
# with changes that are not committed. Without days, all standard days are
# played. JOBS plays run at once (3); OUTPUT is where the reports go.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=3
if [ "${1:-}" = --seeds ]; then
  seeds=$2
  shift 2
fi
[ $# -ge 4 ] || { sed -n '2,13p' "$0" >&2; exit 2; }
kit=$(cd "$1" && pwd) old=$2 new=$3 site=$4
shift 4
jobs=${JOBS:-3}
output=${OUTPUT:-$(mktemp -d)}
mkdir -p "$output"
bench=$(find "$kit" -name fleetbench -path '*bench-*' -perm -u+x | sort | tail -n 1)
[ -n "$bench" ] || { echo "compare: no bench in $kit" >&2; exit 2; }
site_file=$kit/$site.toml
days=("$@")
if [ ${#days[@]} -eq 0 ]; then
  mapfile -t days < <(sed -n '/^\[\[day\]\]/,/^name/s/^name = "\(.*\)"/\1/p' "$site_file")
fi

# prepare SIDE VERSION prints the directory in which the version was built.
prepare() {
  local directory=$2
  if [ ! -d "$2" ]; then
    directory=$output/$1
    rm -rf "$directory"
    git clone --quiet --no-checkout . "$directory"
    git -C "$directory" checkout --quiet --detach "$2"
  fi
  (cd "$directory" && "$bench" build >"$output/$1-build.txt" 2>&1) || { cat "$output/$1-build.txt" >&2; exit 1; }
  (cd "$directory" && pwd)
}

# play DIRECTORY SIDE DAY SEED leaves a report and keeps the journal entry.
play() {
  cd "$1"
  "$bench" run "$site_file" "$3" --seed "$4" --no-cpu --jobs 1 --report "$output/$2-$3-$4.json" \
    --why "compare: $2 of $3, seed $4" >"$output/$2-$3-$4.txt" 2>&1 || true
}
export -f play
export bench site_file output

old_directory=$(prepare old "$old")
new_directory=$(prepare new "$new")
touch "$output/started"
for day in "${days[@]}"; do
  for seed in $(seq 1 "$seeds"); do
    printf '%s\0' "$old_directory" old "$day" "$seed" "$new_directory" new "$day" "$seed"
  done
done | xargs -0 -n 4 -P "$jobs" bash -c 'play "$@"' play

for directory in "$old_directory" "$new_directory"; do
  find "$directory/journal" -newer "$output/started" -name '*.json' -exec cp -n {} journal/ \;
  find "$directory/journal/blobs" -newer "$output/started" -type f -exec cp -n {} journal/blobs/ \;
done

# worth FILE prints the worth of a play, or nothing if it has no report.
worth() { sed -n 's/^  "G": \([-0-9.]*\),$/\1/p' "$1" 2>/dev/null || true; }
broken() { grep -q '^  "breaks": {},\?$' "$1" 2>/dev/null && echo 0 || echo 1; }

for day in "${days[@]}"; do
  for seed in $(seq 1 "$seeds"); do
    a=$output/old-$day-$seed.json b=$output/new-$day-$seed.json
    echo "$day $seed $(worth "$a" | grep . || echo none) $(worth "$b" | grep . || echo none) $(broken "$a") $(broken "$b")"
  done
done | tee "$output/plays.txt" | awk '
  $3 == "none" || $4 == "none" { missing++; next }
  {
    d = $4 - $3
    if (!($1 in n)) order[++days] = $1
    n[$1]++; a[$1] += $3; b[$1] += $4; s[$1] += d; q[$1] += d * d; bad[$1] += $5; badNew[$1] += $6
    if (!($1 in worst) || d < worst[$1]) worst[$1] = d
    N++; A += $3; B += $4; S += d; Q += d * d; BAD += $5; BADNEW += $6
  }
  function spread(n, s, q) { return n > 1 ? sqrt((q - s * s / n > 0 ? q - s * s / n : 0) / (n - 1)) : 0 }
  function row(name, n, a, b, s, q, w, bad, badNew) {
    printf "%-12s %5d %7.3f %7.3f %+8.4f %8.4f %+8.4f %4d/%d\n", name, n, a / n, b / n, s / n, spread(n, s, q), w, bad, badNew
  }
  END {
    printf "%-12s %5s %7s %7s %8s %8s %8s %6s\n", "day", "seeds", "old", "new", "mean", "spread", "worst", "broken"
    for (i = 1; i <= days; i++) { d = order[i]; row(d, n[d], a[d], b[d], s[d], q[d], worst[d], bad[d], badNew[d]); if (i == 1 || worst[d] < W) W = worst[d] }
    if (N) row("all", N, A, B, S, Q, W, BAD, BADNEW)
    if (missing) { printf "%d plays without a report\n", missing; exit 1 }
  }'
