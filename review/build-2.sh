#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/9. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp 'target/lib/*' -d target/review-2 review/standins-2/*.java
