#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/ start, into review/standin/bin. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p bin
for source in play_*.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "bin/${source%.cpp}"
done
