#!/bin/sh
# repeat.sh N [TIMES]: runs a case several times with the disruption and once without it, and prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
codes=""
k=0
while [ "$k" -lt "${2:-5}" ]; do
  "$1/run.sh" > /dev/null 2>&1
  codes="$codes $?"
  k=$((k + 1))
done
TROUBLE=0 "$1/run.sh" > /dev/null 2>&1
echo "case $1: exit codes with the disruption:$codes; without: $?"
