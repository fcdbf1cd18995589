#!/usr/bin/env bash
# Clients that leave early on repeatable requests. Exit: 1 GONE was broken, 0 it held, 2 could not run.
# TROUBLE=0: the same traffic, and every client waits for its answer. About 65 s.
cd "$(dirname "$0")/../.." || exit 2
for program in target/petrel-proxy target/petrel-agent target/petrel-control-plane review/standin/bin/play_gone; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec review/standin/bin/play_gone target review/3/record.txt "${TROUBLE:-1}"
