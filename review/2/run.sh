#!/usr/bin/env bash
# A machine gets SIGTERM while requests wait in it. TROUBLE=0 leaves the SIGTERM out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play.sh" parked-at-stop review/2
