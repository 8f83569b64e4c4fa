# Functions for the review's scripts: a small deployment on loopback addresses, started with the commands of
# deploy/system.toml. Source it from a run.sh that has set `here`; it sets `repo`, `dir`, `net`, `tool` and `record`.
set -u
repo=$(cd "$here/../.." && pwd)
tool=$repo/target/review/stand-in
record=$here/record.txt
for program in "$tool" "$repo/target/tealshelf-control-plane" "$repo/target/tealshelf-data-plane"; do
  if [ ! -x "$program" ]; then echo "missing: build the project, then review/build.sh"; exit 2; fi
done
dir=$(mktemp -d) || exit 2
net=127.$((RANDOM % 120 + 100)).$((RANDOM % 250 + 1))
zones=(ruwi-hall qurum-hall seeb-hall)
pids=()
declare -A pidOf
: > "$record"

note() { echo "$(date +%s.%3N) $*" >> "$record"; }

finish() { # STATUS
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
  exit "$1"
}
trap 'finish 2' INT TERM

startProcess() { # NAME COMMAND...: runs it in the background at the root of the repository
  local name=$1
  shift
  (cd "$repo" && exec "$@") >> "$dir/$name.log" 2>&1 &
  pids+=($!)
  pidOf[$name]=$!
}

bootFile() { # NAME ROLE CLASS SERVES IP ZONE MEMORY DISK FOLDER
  cat > "$dir/$1-$2.conf" <<X
nodeName=$1
role=$2
machineClass=$3
serves=$4
ipAddress=$5
zone=$6
region=muscat
zones.ruwi-hall=muscat
zones.qurum-hall=muscat
zones.seeb-hall=muscat
listenOn.outside=$5:8144
listenOn.readiness=$5:8140
listenOn.control=$5:8146
internalPorts=7660,7675
seedNodes=$net.1:8146,$net.2:8146,$net.3:8146
firstBoot=${first:-true}
countsAsLoss=true
limits.cpuFraction=1
limits.cpuCores=1
limits.memoryMb=$7
limits.openFiles=4100
limits.networkMbps=1000.0
limits.diskMb=$8
dataFolder=$9
discovery=sign_up
entry=shared_address
reportEveryMs=1200
rulesInForce=${rules:-base,drain,config,cost,recover,batch,stream,engine}
survive.machines=1
survive.zones=0
survive.regions=0
bounds.seedDelayS=3
bounds.reuseAfterS=2
bounds.inTouchMs=3000
bounds.confirmWithinMs=4000
bounds.catchUpS=5
bounds.drainMs=2000
bounds.graceS=8
bounds.slackMs=200
bounds.applyWithinMs=2000
bounds.revertSlackMs=250
bounds.stretchLimitMs=5000
bounds.recoverS=12
bounds.stepMs=120
bounds.finishWithinS=10
bounds.statusEveryS=120
bounds.cancelWithinMs=3000
bounds.settleWithinMs=1000
bounds.quotaOverrun=0.1
${moreSettings:-}
X
}

startControl() { TEALSHELF_BOOT=$dir/edge-$1-control.conf startProcess "control$1" \
  target/tealshelf-control-plane --metrics-port 7663 serve; }
startEdge() { TEALSHELF_BOOT=$dir/edge-$1-edge.conf startProcess "edge$1" \
  target/tealshelf-data-plane --metrics-port 7665 edge; }
startStore() { TEALSHELF_BOOT=$dir/store-$1-store.conf startProcess "store$1" \
  target/tealshelf-data-plane --metrics-port 7664 store; }

# Three control nodes and three edges at $net.1 to .3, three stores at $net.11 to .13.
startDeployment() {
  local i
  for i in 1 2 3; do
    mkdir -p "$dir/control$i" "$dir/store$i"
    bootFile edge-$i control edge control "$net.$i" "${zones[i-1]}" 260 64 "$dir/control$i"
    bootFile edge-$i edge edge edge "$net.$i" "${zones[i-1]}" 260 64 ""
    bootFile store-$i store storage storage "$net.1$i" "${zones[i-1]}" 300 500 "$dir/store$i"
    startControl $i; startEdge $i; startStore $i
  done
}

startWorker() { # N SERVICE ZONE [OPTION]...
  startProcess "worker$1" "$tool" worker --at "$net.2$1:9000" --id "i-$1$1$1" --service "$2" --zone "$3" \
    --controls "$net.1:8146,$net.2:8146,$net.3:8146" --log "$record" "${@:4}"
}

call() { "$tool" call "$@"; }

# Sends the first configuration until it is taken, then waits until all edges are ready.
configure() { # FILE
  local i answer=""
  for i in $(seq 60); do
    answer=$(call 2000 PUT "$net.$((i % 3 + 1)):8146" /settings -H "If-Match: 0" -f "$1")
    [ "${answer%% *}" = 200 ] && break
    sleep 0.3
  done
  note "operator: PUT /settings -> ${answer%% *}"
  [ "${answer%% *}" = 200 ] || finish 2
  for i in 1 2 3; do
    for _ in $(seq 60); do
      answer=$(call 1000 GET "$net.$i:8140" /readiness)
      [ "${answer%% *}" = 200 ] && break
      sleep 0.2
    done
    [ "${answer%% *}" = 200 ] || { note "edge $i doesn't become ready"; finish 2; }
  done
  note "all edges are ready"
}

# Hands in a lot of $2 items with the id $1 until it is accepted; further arguments are headers for each call.
handIn() { # ID ITEMS [-H HEADER]...
  local id=$1 items=$2 i answer
  shift 2
  "$tool" lot /pule252/ "$id" "$items" > "$dir/$id.json"
  for i in 1 2 3 1 2 3; do
    answer=$(call 5500 POST "$net.$i:8144" /pule252/7c41e0 -H "Host: ficu95.example" -H "Attempt-Id: $id" \
      -H "Content-Type: application/json" "$@" -f "$dir/$id.json")
    note "client: POST lot $id at edge $i -> ${answer%% *}"
    [ "${answer%% *}" = 202 ] && return 0
    sleep 0.5
  done
  return 1
}

readLot() { # EDGE ID [-H HEADER]...
  local i=$1 id=$2
  shift 2
  call 2500 GET "$net.$i:8144" "/lots/$id?startAfter=0" -H "Host: ficu95.example" "$@"
}

# Reads a lot until all its results are listed, then prints the answer.
readWhole() { # ID ITEMS [-H HEADER]...
  local id=$1 items=$2 answer
  shift 2
  for _ in $(seq 40); do
    answer=$(readLot 1 "$id" "$@")
    case $answer in 200*"\"nextToken\":$items,"*) echo "$answer"; return 0 ;; esac
    sleep 0.5
  done
  return 1
}

change() { # BASE FILE: sends a change of the configuration until it is acknowledged
  local i answer=""
  for i in $(seq 20); do
    answer=$(call 2000 PUT "$net.$((i % 3 + 1)):8146" /settings -H "If-Match: $1" -f "$2")
    note "operator: PUT /settings on top of version $1 -> ${answer%% *}"
    [ "${answer%% *}" = 200 ] && return 0
    sleep 0.3
  done
  return 1
}
