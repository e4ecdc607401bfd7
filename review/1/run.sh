#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
python3 -B case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;; # a failure of Python itself ends with 1
  *) exit 2 ;;
esac
