#!/bin/bash
# Fails if a source isn't laid out as .clang-format says, or is over 400 lines long.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
clang-format --dry-run -Werror "${files[@]}"
bad=0
for file in "${files[@]}"; do
  lines=$(wc -l < "$file")
  if [ "$lines" -gt 400 ]; then
    echo "$file has $lines lines; 400 are the most"
    bad=1
  fi
done
exit $bad
