#!/usr/bin/env bash
# Plays the case and judges its rule: 0 held, 1 broken, 2 could not run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/hawthornrail ] && [ -x target/review3/bed ] || exit 2
exec target/review3/bed timeout "$folder/record.txt"
