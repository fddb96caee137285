#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0: without disruption.
exec python3 -B "$(dirname "$0")/case.py"
