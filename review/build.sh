#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review into target/review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/find-java.sh
find_java_25
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review -cp 'target/lib/*' review/standins/src/review/*.java
