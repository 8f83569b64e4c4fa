#!/bin/bash
# A route is added whose name another route has on another host. Exit 1: the rule is broken; 0: it held; 2: the case
# couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}  # 0: the same without the disruption
. "$here/../stand_ins/deployment.sh"

bulk() { # HOST PREFIX
  echo '{"name":"r-lots","host":"'"$1"'","pathStart":"'"$2"'","kind":"bulk","timeLimitMs":8000,"targetMs":400,"priority":2,"service":"khatt-lm","tries":3,"sticky":true,"resumable":true,"gapTargetMs":250,"dueInMs":10000,"keepForS":60,"maxQueuedTokens":1400000}'
}
settings() { # VERSION ROUTES
  cat <<X
{"version":$1,"routes":[$2],"services":[{"name":"khatt-lm","healthPath":"/health","maxConnections":220,"protocol":"h1","useTls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleLimitMs":15000}}
X
}
settings 1 "$(bulk ficu95.example /pule252/)" > "$dir/first.json"
settings 2 "$(bulk dulo28.example /weke18/),$(bulk ficu95.example /pule252/)" > "$dir/second.json"
startDeployment
startWorker 1 khatt-lm ruwi-hall --capacity 8 --event-ms 200
startWorker 2 khatt-lm qurum-hall --capacity 8 --event-ms 200
configure "$dir/first.json"
sleep 2

lot=7c41e09b52d6a3f8
handIn $lot 100 || finish 2
sent=$SECONDS
sleep 3

# The trouble: the operator adds a bulk route on another host; the route of the lot stays as it is.
if [ "$trouble" != 0 ]; then change 1 "$dir/second.json" || finish 2; fi

# The client reads its lot until all results are listed.
listed=0
until [ "$listed" = 100 ] || [ $((SECONDS - sent)) -gt 55 ]; do
  sleep 0.5
  answer=$(readLot $((RANDOM % 3 + 1)) $lot)
  [ "${answer%% *}" = 200 ] || continue
  listed=$(grep -o '"state":"' <<< "$answer" | wc -l)
  givenUp=$(grep -o '"state":"given_up"' <<< "$answer" | wc -l)
  note "client: GET lot $lot -> 200, $listed results are listed, $givenUp of them given up, $((SECONDS - sent)) s after it was sent"
done
note "verdict: $listed results listed, ${givenUp:-0} of them given up before keepForS (60 s); no worker answered 500 or 422"
[ "$listed" = 100 ] || finish 2
[ "$givenUp" = 0 ] && finish 0
finish 1
