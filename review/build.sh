#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/gooseberryhill-0.1.0-all.jar \
    platform/standin/java/org/gooseberryhill/platform/standin/StoreFaults.java \
    platform/standin/java/org/gooseberryhill/platform/standin/StoreStandin.java \
    review/standin/*.java
