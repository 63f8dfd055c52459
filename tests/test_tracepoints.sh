#!/usr/bin/env bash
# test_tracepoints.sh PROGRAM: checks that PROGRAM has exactly the tracepoints that docs/operators/tracing.md documents.
set -euo pipefail
cd "$(dirname "$0")/.."
documented=$(sed -n 's/^| `amberpin:\([a-z_]*\)`.*/\1/p' docs/operators/tracing.md | sort)
built=$(readelf -n "$1" | awk '$1 == "Provider:" { ours = $2 == "amberpin" } $1 == "Name:" && ours { print $2 }' | sort -u)
if [[ -z $documented || $documented != "$built" ]]; then
    echo "documented: ${documented//$'\n'/ }; built: ${built//$'\n'/ }" >&2
    exit 1
fi
