#!/bin/sh
# TROUBLE=0 leaves out the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../stand-3/run-case" 13
