#!/bin/bash
# The only worker of a lot's service crashes and its successor comes. Exit 1: the rule is broken; 0: it held; 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}  # 0: the same without the disruption
. "$here/../stand_ins/deployment.sh"

cat > "$dir/settings.json" <<'X'
{"version":1,"routes":[{"name":"r-lots","host":"ficu95.example","pathStart":"/pule252/","kind":"bulk","timeLimitMs":8000,"targetMs":400,"priority":2,"service":"khatt-lm","tries":3,"sticky":true,"resumable":true,"gapTargetMs":250,"dueInMs":10000,"keepForS":40,"maxQueuedTokens":1400000}],"services":[{"name":"khatt-lm","healthPath":"/health","maxConnections":220,"protocol":"h1","useTls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleLimitMs":15000}}
X
items=60
startDeployment
startWorker 1 khatt-lm ruwi-hall --capacity 24 --event-ms 100
configure "$dir/settings.json"
sleep 2

lot=7c41e09b52d6a3f8
handIn $lot $items || finish 2
sent=$SECONDS
sleep 0.6

# The trouble: the worker crashes; 4.5 s later its successor comes.
if [ "$trouble" != 0 ]; then
  kill -9 "${pidOf[worker1]}"
  note "worker 1 has crashed"
  sleep 4.5
  startWorker 2 khatt-lm ruwi-hall --capacity 24 --event-ms 100
  note "worker 2 has started"
fi

# The client reads its lot until all results are listed, until 60 s after it was sent; keepForS is 40.
listed=0
until [ "$listed" = $items ] || [ $((SECONDS - sent)) -gt 60 ]; do
  sleep 1
  answer=$(readLot $((RANDOM % 3 + 1)) $lot)
  [ "${answer%% *}" = 200 ] || { note "client: GET lot $lot -> ${answer%% *}"; continue; }
  listed=$(grep -o '"state":"' <<< "$answer" | wc -l)
  givenUp=$(grep -o '"state":"given_up"' <<< "$answer" | wc -l)
  note "client: GET lot $lot -> 200, $listed of $items results are listed, $givenUp given up, $((SECONDS - sent)) s after it was sent"
done

# The rule excuses items that a worker had in the last 5 s or that failed at one in the last 20 s.
since=$(($(date +%s%3N) - 20000))
recent=$(awk -v since=$since '/ worker .* (runs|has finished) / && $1 >= since' "$record" | wc -l)
note "verdict: $listed of $items results are listed; runs begun or ended at a worker in the last 20 s: $recent"
[ "$listed" = $items ] && finish 0
[ "$recent" = 0 ] && finish 1
finish 2
