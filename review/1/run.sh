#!/usr/bin/env bash
# A backend sends some rejections twice, late. TROUBLE=0 leaves that out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../play.sh" repeated-rejection review/1
