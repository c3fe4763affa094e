#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. See claim.txt.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -f ../target/Case5.class ] && [ -f "$root/platform/target/ebonyford-gateway.jar" ] || { echo "build first"; exit 2; }
exec java -Droot="$root" -cp ../target Case5 record.txt
