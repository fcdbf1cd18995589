#!/usr/bin/env bash
# Two of three senders get SIGTERM at the same time, twice. Exit: 1 LOST was broken, 0 it held, 2 could not run.
# TROUBLE=0: the same without SIGTERM. About 45 s.
cd "$(dirname "$0")/../.." || exit 2
for program in target/petrel-proxy target/petrel-agent target/petrel-control-plane review/standin/bin/play_sigterm; do
    [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec review/standin/bin/play_sigterm target review/2/record.txt "${TROUBLE:-1}"
