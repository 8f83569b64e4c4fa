#!/bin/bash
# Fails if a source includes a header of a directory above its own. Directories stand here from the bottom
# to the top; a file may include its own directory and those before it.
set -euo pipefail
cd "$(dirname "$0")/.."
order=(base wire configuration fleet rollouts consensus tallies segments updates tenants workers traffic duties lots edge control apps)
declare -A rank
for i in "${!order[@]}"; do rank[${order[$i]}]=$i; done
bad=0
for dir in "${order[@]}"; do
  [ -d "$dir" ] || continue
  while IFS=: read -r file header; do
    used=${header%%/*}
    if [ -z "${rank[$used]:-}" ] || [ "${rank[$used]}" -gt "${rank[$dir]}" ]; then
      echo "$file includes $header, which lies above it"
      bad=1
    fi
  done < <(git ls-files "$dir/*.?pp" | xargs grep -HoE '^#include "[^"]+"' | sed 's/#include "//; s/"$//')
done
exit $bad
