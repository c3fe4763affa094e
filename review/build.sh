#!/bin/sh
# Builds the stand-ins and the cases with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target standins/*.java
