#!/bin/sh
# A second effect of the fault of this case, outside the case; TROUBLE=0 as in run.sh. See claim.txt.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -f ../target/Case2Evacuation.class ] && [ -f "$root/platform/target/ebonyford-gateway.jar" ] || { echo "build first"; exit 2; }
exec java -Droot="$root" -cp ../target Case2Evacuation record-evacuation.txt
