#!/bin/sh
# VARIANT=outage (the default) or VARIANT=manifest
exec python3 -B "$(dirname "$0")/${VARIANT:-outage}.py"
