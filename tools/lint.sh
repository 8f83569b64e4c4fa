#!/bin/bash
# Runs clang-tidy over all sources, or over the files named, with the checks of .clang-tidy; fails on any remark.
# Usage: tools/lint.sh [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/lint -DTEALSHELF_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON > /dev/null
# Boost 1.74 takes clang for a compiler without standard coroutines unless told otherwise.
coroutines=(--extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
# Not held yet, see .clang-tidy.
not_held=(--extra-arg=-Wno-unused-private-field)
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cpp'); fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" clang-tidy-16 -p target/lint --quiet "${coroutines[@]}" "${not_held[@]}" \
    2> >(grep -v ' warnings\? generated\.$' >&2)
