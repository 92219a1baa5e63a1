#!/usr/bin/env bash
# A route moves to another service, and the backends of the old one leave. TROUBLE=0 leaves the move out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play.sh" left-behind review/3
