#!/usr/bin/env bash
# Builds the stand-ins that review/4 to review/8 start. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p build
c++ -std=c++20 -O1 -g -Wall -Wextra -pthread -c stage.cpp -o build/stage.o
for case in second_answer no_limit slow_readers long_answer lost_disks; do
    c++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$case.cpp" build/stage.o -o "build/$case"
done
