#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. Runs after the build of the deploy file and
# needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-java.sh
find_java_25
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -nowarn -d target/review-3 -cp 'target/lib/*' $(find review/standins-3 -name '*.java')
