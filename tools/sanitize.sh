#!/bin/bash
# Builds the tests with a sanitizer and runs every group, the short soaks too; fails if a group fails or anything is reported.
# Usage: tools/sanitize.sh address|thread [JOBS]
#
# Can be stopped at any time and taken up again: objects that are built are kept, and so are the names of the groups
# that passed with the present build (target/sanitize-KIND/passed). Debug information is cut to line tables.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-}
jobs=${2:-$(nproc)}
case "$kind" in
  address) sanitizers=address,undefined ;;
  thread) sanitizers=thread ;;
  *) echo "usage: tools/sanitize.sh address|thread [JOBS]" >&2; exit 2 ;;
esac
folder=target/sanitize-$kind
passed=$folder/passed
logs=$folder/logs
mkdir -p "$logs"

cmake -S . -B "$folder" -DTEALSHELF_TESTS=ON -DTEALSHELF_SANITIZE="$sanitizers" -DCMAKE_BUILD_TYPE=Sanitize \
  -DCMAKE_CXX_FLAGS_SANITIZE="-O1 -g1" > /dev/null
cmake --build "$folder" -j"$jobs" | grep -E '^\[ *[0-9]+%\] (Built|Linking)|error|warning' || true
cmake --build "$folder" -j"$jobs" > /dev/null

# A new build makes every earlier verdict void.
build=$(sha256sum "$folder"/tests/tealshelf-tests "$folder"/tools/soak/tealshelf-soak "$folder"/tealshelf-*-plane | sha256sum)
if [ "$(head -n 1 "$passed" 2> /dev/null)" != "$build" ]; then echo "$build" > "$passed"; fi

# One report ends a process with its own status, so that a group can't pass over it.
export ASAN_OPTIONS=detect_leaks=0:exitcode=66:halt_on_error=1
export UBSAN_OPTIONS=print_stacktrace=1:halt_on_error=1:exitcode=66
export TSAN_OPTIONS=exitcode=66:halt_on_error=1:second_deadlock_stack=1

mapfile -t groups < <(ctest --test-dir "$folder" -N | sed -n 's/^ *Test *#[0-9]*: //p')
echo "$kind: ${#groups[@]} groups, $(($(wc -l < "$passed") - 1)) of them passed before"

run_group() {  # folder, logs, passed, group
  if grep -qxF "$4" "$3"; then return; fi
  local started=$SECONDS
  if ctest --test-dir "$1" -R "^$4\$" --output-on-failure --timeout 1800 > "$2/$4.log" 2>&1; then
    echo "$4" >> "$3"
    echo "passed $4, $((SECONDS - started)) s"
  else
    echo "FAILED $4, $((SECONDS - started)) s: $2/$4.log"
  fi
}
export -f run_group
printf '%s\0' "${groups[@]}" |
  xargs -0 -n 1 -P "$jobs" bash -c 'run_group "$@"' run_group "$folder" "$logs" "$passed"

count=$(($(wc -l < "$passed") - 1))
echo "$count passed, $((${#groups[@]} - count)) failed"
[ "$count" -eq "${#groups[@]}" ]
