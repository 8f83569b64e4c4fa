#!/bin/bash
# The scale run on loopback: real control processes and real data-plane nodes beside hollow ones.
#   tools/scale/run.sh BUILD OUT NODES WORKERS [SECONDS]
# Writes one line of figures to standard output and raw data to OUT. Ends everything it started.
set -euo pipefail
fail() { echo "scale: $1" >&2; exit 2; }
[ $# -ge 4 ] || fail "BUILD OUT NODES WORKERS [SECONDS] are wanted"
build=$(realpath "$1") out=$2 nodes=$3 workers=$4 secs=${5:-12}
for n in "$nodes" "$workers" "$secs"; do [[ $n =~ ^[0-9]+$ ]] || fail "$n is no whole number"; done
[ "$nodes" -le 600 ] && [ "$workers" -le 2000 ] && [ "$secs" -le 120 ] || fail "at most 600 nodes, 2000 workers, 120 seconds"
[ -x "$build/tealshelf-hollow" ] || fail "$build has no tealshelf-hollow; build with the tests on"
(exec 3<>/dev/tcp/127.0.1.1/8146) 2>/dev/null && fail "port 8146 of 127.0.1.1 is taken"
mkdir -p "$out"
out=$(realpath "$out")
dir=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$dir"; }
trap finish EXIT
controls=8 real=4 each=40
conf() { # NAME ROLE SERVES IP ZONE FOLDER CPU
  { echo "nodeName=$1"; echo "role=$2"; echo "machineClass=edge"; echo "serves=$3"; echo "ipAddress=$4"; echo "zone=$5"; echo "region=here"
    for z in a b c d e f; do echo "zones.$z=here"; done
    echo "listenOn.outside=$4:8144"; echo "listenOn.readiness=$4:8140"; echo "listenOn.control=$4:8146"; echo "internalPorts=7660,7675"
    echo "seedNodes=127.0.1.1:8146,127.0.1.2:8146,127.0.1.3:8146"; echo "firstBoot=true"; echo "limits.diskMb=64"; echo "dataFolder=$6"
    echo "limits.cpuFraction=$7"; echo "reportEveryMs=1200"; echo "survive.machines=2"; echo "bounds.inTouchMs=4000"; echo "bounds.applyWithinMs=2500"; echo "bounds.drainMs=2500"; } > "$dir/$1-$2.conf"
}
start() { # LOG CONF COMMAND...
  TEALSHELF_BOOT=$2 "${@:3}" > "$dir/$1.log" 2>&1 &
  pids+=($!)
}
zones=(a b c d e f)
control=() data=()
for i in $(seq $controls); do
  mkdir -p "$dir/c$i"
  conf "control-$i" control control "127.0.1.$i" "${zones[$(((i - 1) % 6))]}" "$dir/c$i" 0.3
  start "control$i" "$dir/control-$i-control.conf" "$build/tealshelf-control-plane" serve
  control+=($!)
done
for i in $(seq $real); do
  conf "real-$i" edge edge "127.0.3.$i" "${zones[$(((i - 1) % 6))]}" "" 0.3
  start "real$i" "$dir/real-$i-edge.conf" "$build/tealshelf-data-plane" edge
  data+=($!)
done
sleep 4
configuration() { sed "s/\"version\":[0-9]*/\"version\":$1/" "$(dirname "$0")/../configuration.json" > "$dir/configuration.json"; }
put() { # VERSION ON
  configuration "$1"
  curl -s -m 3 -o /dev/null -w '%{http_code}' -X PUT -H "If-Match: $2" --data "@$dir/configuration.json" 127.0.1.1:8146/settings || true
}
[ "$(put 1 0)" = 200 ] || fail "the first configuration was not taken; see the control nodes' logs"
conf hollow edge edge 127.0.9.1 a "" 0.04
hollows=()
for ((n = 0; n < nodes || n < workers; n += each)); do
  h=$((nodes - n)); [ $h -gt $each ] && h=$each; [ $h -lt 0 ] && h=0
  w=$((workers - n)); [ $w -gt $each ] && w=$each; [ $w -lt 0 ] && w=0
  "$build/tealshelf-hollow" --settings "$dir/hollow-edge.conf" --nodes $h --workers $w --first $n --seconds $((secs + 8)) > "$out/hollow-$n.txt" 2>&1 &
  hollows+=($!)
  pids+=($!)
done
sleep 5
cpu() { local t=0 s; for p in "$@"; do s=$(awk '{printf "%d", $1 / 1000}' "/proc/$p/schedstat" 2>/dev/null) || fail "a real process ended"; t=$((t + s)); done; echo $t; }
rss() { local m=0 s; for p in "$@"; do s=$(awk '/VmRSS/{print $2}' "/proc/$p/status"); [ "$s" -gt $m ] && m=$s; done; echo $m; }
c0=$(cpu "${control[@]}") d0=$(cpu "${data[@]}") t0=$(date +%s%N)
: > "$out/acks.txt"
for v in $(seq 2 $((secs / 2))); do
  sent=$(($(date +%s%N) / 1000000))
  code=$(put "$v" $((v - 1)))
  echo "$v $sent $(($(date +%s%N) / 1000000)) $code" >> "$out/acks.txt"
  sleep 1.5
done
c1=$(cpu "${control[@]}") d1=$(cpu "${data[@]}") t1=$(date +%s%N)
cm=$(rss "${control[@]}") dm=$(rss "${data[@]}")
wait "${hollows[@]}"
awk -v n="$nodes" -v w="$workers" -v ck=$((c1 - c0)) -v dk=$((d1 - d0)) -v t=$((t1 - t0)) -v cs=$controls -v ds=$real -v cm="$cm" -v dm="$dm" '
  FILENAME ~ /acks/ { sent[$1] = $2; ack[$1] = $3; if ($4 != 200) bad++; next }
  $1 == "configuration" && ($2 in ack) { got[$2]++; l[m++] = $4 - sent[$2]; if ($4 - ack[$2] > late) late = $4 - ack[$2] }
  $1 == "hollow" { fresh += $5; asks += $7; rel += $9; bytes += $11; if ($13 > held) held = $13; if ($15 > known) known = $15; beats += $17; lost += $19 }
  END { s = t / 1e9
    for (i = 1; i < m; i++) { x = l[i]; for (j = i - 1; j >= 0 && l[j] > x; j--) l[j + 1] = l[j]; l[j + 1] = x }
    printf "%d %d %.2f %.2f %d %d %d %d %d %d %d %d %d %d %.1f %.1f\n", n, w, ck / 1000 / s / cs, dk / 1000 / s / ds, cm, dm, fresh, known, m, l[int(m / 2)], l[int(m * 0.99)], l[m - 1], late, held, beats / (s + 8), lost + bad }' "$out/acks.txt" "$out"/hollow-*.txt
