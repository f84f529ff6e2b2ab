#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 110 "$here/../bin/case4" "$here/../.." "${RECORD_FOLDER:-$here}"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
