#!/bin/bash
# Makes relay/target/ambertrestle.jsa, an archive of the classes that a relay loads, so that one with part of a core is ready in
# a third of the time. The program itself is started for it, told to stop and asked for nothing but PING and an opening
# that finds no backend. Without the archive a relay starts all the same, so nothing here fails a build.
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
