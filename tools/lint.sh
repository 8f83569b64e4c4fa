#!/bin/bash
# Runs clang-tidy over all sources, or over the files named, with the checks of .clang-tidy; fails on any remark.
# Usage: tools/lint.sh [FILE...]
#
# Most of the time goes into the headers of the libraries, whatever the length of a source. So without FILE the sources
# are checked several at a time, as units that include them (CMake's unity build, below target/lint); that needs names
# which are unique within a unit. Fails too if a source belongs to no unit.
set -euo pipefail
cd "$(dirname "$0")/.."
sources_per_unit=24
# Boost 1.74 takes clang for a compiler without standard coroutines unless told otherwise.
coroutines=(--extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
# Not held yet, see .clang-tidy.
not_held=(--extra-arg=-Wno-unused-private-field)

configure() {  # directory, further options
  cmake -S . -B "$1" -DTEALSHELF_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON "${@:2}" > /dev/null
}

check() {  # directory of the compile commands, files
  printf '%s\0' "${@:2}" |
    xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy-16 -p "$1" --quiet "${coroutines[@]}" "${not_held[@]}" \
      2> >(grep -v ' warnings\? generated\.$' >&2)
}

if [ $# -gt 0 ]; then
  configure target/lint-single -DCMAKE_UNITY_BUILD=OFF
  check target/lint-single "$@"
  exit
fi

configure target/lint -DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE="$sources_per_unit"
mapfile -t units < <(sed -n 's/^ *"file": "\(.*\/unity_[0-9]*_cxx\.cxx\)"$/\1/p' target/lint/compile_commands.json)
missing=$(comm -23 <(git ls-files '*.cpp' | sed "s|^|$PWD/|" | sort) \
  <(sed -n 's/^#include "\([^"]*\)".*/\1/p' "${units[@]}" | sort))
if [ -n "$missing" ]; then
  echo "sources that no target of CMake builds, so that nothing checks them:" "$missing"
  exit 1
fi
# Only the units themselves include sources on purpose.
sed -i 's|^#include "[^"]*"$|& // NOLINT(bugprone-suspicious-include)|' "${units[@]}"
check target/lint "${units[@]}"
