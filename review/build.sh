#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python programs of the standard library alone, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m py_compile standin/*.py [0-9]/play.py
