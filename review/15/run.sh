#!/bin/sh
exec "$(dirname "$0")/../stand-3/run-case" 15
