#!/usr/bin/env bash
# Replaces the VMs of a small deployment by another build one after the other, under load,
# there and back, and checks the promises to callers. Not part of CI.
#
#   scripts/upgrade.sh OLD [NEW]
#
# OLD and NEW are commits; without NEW the working tree is built.
set -euo pipefail
cd "$(dirname "$0")/.."
old=${1:?usage: scripts/upgrade.sh OLD [NEW]}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# build COMMIT NAME builds a commit of the history.
build() {
  git clone --quiet --no-checkout . "$folder/$2-source"
  git -C "$folder/$2-source" checkout --quiet --detach "$1"
  (cd "$folder/$2-source" && CGO_ENABLED=1 go build -o "$folder/$2" ./cmd/hawthornrail)
}

build "$old" old
if [ $# -ge 2 ]; then
  build "$2" new
else
  CGO_ENABLED=1 go build -o "$folder/new" ./cmd/hawthornrail
fi
HAWTHORNRAIL_OLD="$folder/old" HAWTHORNRAIL_NEW="$folder/new" go test -count=1 -timeout 20m -run TestUpgradeUnderLoad -v ./platform
