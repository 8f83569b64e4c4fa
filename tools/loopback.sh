#!/bin/bash
# Starts or ends a small tealshelf on loopback: tools/loopback.sh up|down BUILD DIR
set -euo pipefail
what=${1:?up or down} build=$(realpath "${2:?folder of the programs}") dir=${3:?folder for boot files, disks and logs}
boot() { # NAME ROLE CLASS SERVES IP AREA FOLDER
  cat > "$dir/$1-$2.conf" <<X
nodeName=$1
role=$2
machineClass=$3
serves=$4
ipAddress=$5
zone=$6
region=here
zones.a=here
zones.b=here
zones.c=here
listenOn.outside=$5:8144
listenOn.readiness=$5:8140
listenOn.control=$5:8146
internalPorts=7660,7675
seedNodes=127.0.1.1:8146,127.0.1.2:8146,127.0.1.3:8146
firstBoot=$first
countsAsLoss=true
limits.memoryMb=260
limits.diskMb=64
dataFolder=$7
reportEveryMs=1200
survive.machines=1
bounds.inTouchMs=3000
X
}
if [ "$what" = down ]; then
  while read -r p; do kill "$p" 2>/dev/null || true; done < "$dir/pids"
  rm -f "$dir/pids"
  exit 0
fi
first=true
if [ -d "$dir" ]; then first=false; fi
mkdir -p "$dir"
i=0
for a in a b c; do
  i=$((i + 1))
  mkdir -p "$dir/control$i" "$dir/store$i"
  boot edge-$i control edge control 127.0.1.$i $a "$dir/control$i"
  boot edge-$i edge edge edge 127.0.1.$i $a ""
  boot store-$i store storage storage 127.0.2.$i $a "$dir/store$i"
  TEALSHELF_BOOT="$dir/edge-$i-control.conf" "$build/tealshelf-control-plane" --metrics-port 7663 serve > "$dir/control$i.log" 2>&1 &
  echo $! >> "$dir/pids"
  TEALSHELF_BOOT="$dir/edge-$i-edge.conf" "$build/tealshelf-data-plane" --metrics-port 7665 edge > "$dir/edge$i.log" 2>&1 &
  echo $! >> "$dir/pids"
  TEALSHELF_BOOT="$dir/store-$i-store.conf" "$build/tealshelf-data-plane" --metrics-port 7664 store > "$dir/store$i.log" 2>&1 &
  echo $! >> "$dir/pids"
done
for _ in $(seq 50); do
  if curl -s -o /dev/null -m 1 127.0.1.1:8146/settings; then break; fi
  sleep 0.1
done
sleep 2
echo "up; logs are in $dir"
