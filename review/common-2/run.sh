#!/bin/sh
# run.sh FOLDER: runs the case of a folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
python3 "$1/case.py" &
child=$!
trap 'kill "$child" 2> /dev/null' HUP INT TERM
wait "$child"
code=$?
wait "$child" 2> /dev/null
case $code in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
