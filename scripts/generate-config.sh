#!/usr/bin/env bash
# Generates the settings files in config/karoo and config/siam, one per entry host.
set -euo pipefail
cd "$(dirname "$0")/../config"

# write_user FOLDER TITLE BASE-PORT ZONE:HOSTS...
write_user() {
  local folder=$1 title=$2 base=$3 names=() zones=() all=""
  shift 3
  for entry in "$@"; do
    for ((i = 1; i <= ${entry#*:}; i++)); do
      names+=("${entry%:*}-$i")
      zones+=("${entry%:*}")
    done
    all+="${all:+, }${entry%:*}"
  done
  mkdir -p "$folder"
  for own in "${!names[@]}"; do
    {
      echo "# $title: entry host ${names[own]}. Written by scripts/generate-config.sh."
      echo "name: ${names[own]}"
      echo "zone: ${zones[own]}"
      echo "listen:"
      echo "  callers: 127.0.0.1:$((base + 101 + own))"
      echo "  operators: 127.0.0.1:$((base + 201 + own))"
      echo "  peer: 127.0.0.1:$((base + 301 + own))"
      echo "store: [127.0.0.1:$((base + 901))]"
      echo "hostList: 127.0.0.1:$((base + 902))"
      echo "zones: [$all]"
      echo "entryHosts: ${#names[@]}"
      echo "peers:"
      for k in "${!names[@]}"; do
        [ "$k" -eq "$own" ] || echo "  - {name: ${names[k]}, zone: ${zones[k]}," \
          "peer: 127.0.0.1:$((base + 301 + k)), operator: 127.0.0.1:$((base + 201 + k))}"
      done
    } >"$folder/${names[own]}.yaml"
  done
}

write_user karoo "Karoo Cryogas Supply" 21000 germiston:3 midrand:3 vereeniging:2
write_user siam "Siam Reed & String Lending Co." 22000 bkk-a:3 bkk-b:3 bkk-c:2
