#!/bin/bash
# Fails if a clean build needs more than the `packages` of deploy/system.toml: configures the programs with only the
# commands of these packages, of what they depend on and of Debian's essential packages on the path, and reads
# every system header of the programs to see that it comes from them too. Recommended packages do not count.
# Fails too if README.md leaves one of the packages out.
set -euo pipefail
cd "$(dirname "$0")/.."
read -ra listed <<< "$(sed -n 's/^packages = \[\(.*\)\]/\1/p' deploy/system.toml | tr -d '",')"
mapfile -t essential < <(dpkg-query -W -f '${Package} ${Essential}\n' | sed -n 's/ yes$//p')
mapfile -t needed < <(apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts \
  --no-breaks --no-replaces --no-enhances "${listed[@]}" "${essential[@]}" | grep -E '^[a-z0-9]' | sort -u)
bad=0
for package in "${listed[@]}"; do
  if ! grep -qF -- " $package " <(sed -n '/apt-get install/,/cmake -S/p' README.md | sed 's/$/ /'); then
    echo "README.md doesn't list $package, deploy/system.toml does"
    bad=1
  fi
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/bin"
for package in "${needed[@]}"; do dpkg -L "$package" 2> /dev/null || true; done | sort -u > "$work/files"

# Commands: those of the packages, and alternatives that lead to one of them, such as c++.
for command in /usr/bin/*; do
  target=$(readlink -f "$command") || continue
  if grep -qxF -e "$command" -e "${command#/usr}" -e "$target" "$work/files"; then
    ln -s "$command" "$work/bin/${command##*/}"
  fi
done
if ! PATH="$work/bin" cmake -S . -B "$work/build" -DCMAKE_BUILD_TYPE=Release > "$work/log" 2>&1; then
  cat "$work/log"
  echo "the packages of deploy/system.toml don't suffice to configure the programs"
  exit 1
fi

# Headers: those of all the includes of the programs, as one source.
git ls-files "*.hpp" "*.cpp" | grep -vE "^(tests|tools)/" | xargs grep -hE "^#include <" | sort -u > "$work/all.cpp"
while read -r header; do
  real=$(readlink -f "$header")
  if ! grep -qxF -e "$header" -e "$real" "$work/files"; then
    echo "$header belongs to none of the packages of deploy/system.toml, nor to what they depend on"
    bad=1
  fi
done < <(PATH="$work/bin" c++ -std=c++20 -M "$work/all.cpp" | tr -s ' \\' '\n\n' | grep '^/usr/' | sort -u)
exit $bad
