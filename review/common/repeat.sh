#!/bin/sh
# Runs the script of one case several times, with and without the disruption, and prints the exit codes.
# usage: repeat.sh N [TIMES]
cd "$(dirname "$0")/.." || exit 2
for trouble in 1 0; do
  codes=""
  for k in $(seq "${2:-5}"); do
    TROUBLE=$trouble "$1/run.sh" >/dev/null 2>&1
    codes="$codes $?"
  done
  echo "case $1 TROUBLE=$trouble: exit codes$codes"
done
