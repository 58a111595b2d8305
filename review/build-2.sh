#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-java.sh
find_java_25
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp 'target/lib/*' review/standins-2/src/review2/*.java
