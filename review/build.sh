#!/bin/sh
# Builds the shipped program as the deploy file does. The stand-ins are Python and need no build.
cd "$(dirname "$0")/.." && exec cargo build --release --locked -p driftnotch
