#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Ends every process that the case started, also if it is interrupted.
set -u
cd "$(dirname "$0")/.."
case=$1
folder=$2
for program in target/release/monsoonringd target/review/stand-in; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build with the command of deploy/system.toml and review/build.sh"
    exit 2
  fi
done
temporary=$(mktemp -d)
stand_in=
clean_up() {
  [ -n "$stand_in" ] && kill "$stand_in" 2>/dev/null
  while read -r pid; do kill -9 "$pid" 2>/dev/null; done < <(cat "$temporary/pids" 2>/dev/null)
  rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
# Each open connection takes a few descriptors.
ulimit -n 4096 2>/dev/null
target/review/stand-in "$case" "$temporary" "$folder/record.txt" &
stand_in=$!
wait "$stand_in"
code=$?
stand_in=
[ "$code" -le 2 ] || code=2
exit "$code"
