#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2. The project's own stand-ins lie in the archive
# that the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
jar=target/gooseberryhill-0.1.0-all.jar
[ -f "$jar" ] || { echo "missing: $jar; run the build of the deploy file first" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp "$jar" review/standin-2/*.java
