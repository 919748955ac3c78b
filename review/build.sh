#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of the runtime and need no
# compiler; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]/*.mjs; do
  node --check "$module"
done
