#!/bin/sh
# Builds the stand-ins and the cases of the scripts; needs the JDK that the system's own build needs.
set -e
cd "$(dirname "$0")"
mkdir -p target
javac --release 17 -Xlint:-options -d target standins/*.java
