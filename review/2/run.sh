#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
java -cp review/target Cases early-reset review/2 &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM
wait "$pid"
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
