#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start, into target/review-2. They
# need a C++17 compiler and nothing else. The daemon is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  echo "building $name"
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
