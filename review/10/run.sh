#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py record.txt
