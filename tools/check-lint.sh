#!/bin/bash
# Fails if the lint overlooks a directory: plants a fault in a source and in a header of each directory of the tree, in
# a copy that consists of little else, and looks for each of them among the remarks of tools/lint.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mapfile -t sources < <(git ls-files '*.cpp')
mapfile -t headers < <(git ls-files '*.hpp')
for file in "${sources[@]}" "${headers[@]}"; do
  mkdir -p "$work/$(dirname "$file")"
  : > "$work/$file"
done
mapfile -t copied < <(git ls-files 'CMakeLists.txt' '*/CMakeLists.txt' .clang-tidy .gitignore tools/lint.sh)
tar -c "${copied[@]}" | tar -x -C "$work"

planted=()
plant() {  # file, name of a function that breaks the rule for names
  printf 'inline int %s() { return 0; }\n' "$2" >> "$work/$1"
  planted+=("$1 $2")
}
number=0
while read -r directory; do
  number=$((number + 1))
  source=$(printf '%s\n' "${sources[@]}" | grep -E "^$directory/[^/]*$" | head -n 1 || true)
  header=$(printf '%s\n' "${headers[@]}" | grep -E "^$directory/[^/]*$" | head -n 1 || true)
  if [ -n "$source" ]; then plant "$source" "Source_fault_$number"; fi
  if [ -n "$header" ]; then
    plant "$header" "Header_fault_$number"
    sed -i '1i #pragma once' "$work/$header"
    # A directory without sources is included by another one's.
    sed -i "1i #include \"$header\"" "$work/${source:-${sources[0]}}"
  fi
done < <(printf '%s\n' "${sources[@]}" "${headers[@]}" | xargs -n 1 dirname | sort -u)

git -C "$work" init --quiet
git -C "$work" add -A
remarks=$work/remarks
if "$work/tools/lint.sh" > "$remarks" 2>&1; then
  echo "the lint passes sources with planted faults"
  exit 1
fi
bad=0
for fault in "${planted[@]}"; do
  if ! grep -q "/${fault% *}:.*'${fault#* }'" "$remarks"; then
    echo "the lint overlooks a fault in ${fault% *}"
    bad=1
  fi
done
if [ $bad -ne 0 ]; then cat "$remarks"; fi
echo "lint: ${#planted[@]} planted faults looked for"
exit $bad
