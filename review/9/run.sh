#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the
# disruption (the daemon is not killed).
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-9
[ -x "$program" ] && [ -x target/bin/camphorcleatd ] || { echo "run the deploy build and review/build-2.sh first" >&2; exit 2; }
exec "$program" "$folder/record.txt"
