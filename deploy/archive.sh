#!/bin/bash
# Creates relay/target/ambertrestle.jsa, a class data sharing (CDS) archive of the classes that a relay loads. With it, a
# relay that has only a fraction of a core starts in a third of the time. To record the classes, this script starts a
# relay, sends it PING and an OPEN that reaches no backend, makes it read its configuration again, and stops it. A relay
# also starts without the archive, so a failure here doesn't fail the build.
cd "$(dirname "$0")/.." || exit 0
rm -f relay/target/ambertrestle.jsa
env -u BALANCER_LISTEN -u BALANCER_DISCOVERY -u BALANCER_NAME BALANCER_CONFIG=deploy/rehearsal.json \
  java -XX:ArchiveClassesAtExit=relay/target/ambertrestle.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -Dvertx.disableDnsResolver=true -jar relay/target/ambertrestle.jar serve > relay/target/rehearsal.log 2>&1 &
relay=$!
for attempt in {1..50}; do
  sleep 0.2
  if exec 3<>/dev/tcp/127.94.17.3/18094; then
    printf 'PING\r\nOPEN 1 1 c=u,t=t,d=400,g=1\r\n' >&3
    timeout 3 cat <&3 > /dev/null
    break
  fi
done 2> /dev/null
kill -HUP $relay
sleep 0.3
kill -TERM $relay
wait $relay
exit 0
