#!/bin/bash
# Builds the program of each case that has one, in review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "bin/case$(dirname "$source")" "$source"
done
