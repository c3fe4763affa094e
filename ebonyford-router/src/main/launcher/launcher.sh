#!/bin/sh
exec java ${EBONYFORD_JAVA_OPTIONS:--Xms32m -Xmx128m -XX:MaxMetaspaceSize=96m -XX:+UseSerialGC -XX:TieredStopAtLevel=4 -Xshare:auto} -jar "$0" "$@"
