#!/usr/bin/env bash
# Checks formatting and naming of all sources except generated ones; requires a configured ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.h' '*.cpp' ':!:*.pb.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cpp')
# Translation units that passed with identical inputs are skipped.
cache="${XDG_CACHE_HOME:-$HOME/.cache}/endivedoor-lint"
mkdir -p "$cache"
headers="$(cat .clang-tidy $(git ls-files '*.h' '*.def') | sha256sum)"
todo=()
for unit in "${units[@]}"; do
  key="$(echo "$headers $(sha256sum "$unit")" | sha256sum | cut -d' ' -f1)"
  [ -e "$cache/$key" ] || todo+=("$unit" "$cache/$key")
done
[ "${#todo[@]}" -eq 0 ] && exit 0
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
# The compile commands contain g++ warning options that clang does not know.
if ! printf '%s\n' "${todo[@]}" | xargs -P "$(nproc)" -n 2 sh -c \
    'clang-tidy --quiet -p build --extra-arg=-Wno-unknown-warning-option "$0" && touch "$1"' \
    >"$log" 2>&1; then
  grep -vE 'warnings? (generated|treated)|^Suppressed|^Use -header-filter' "$log"
  echo "clang-tidy found faults"
  exit 1
fi
