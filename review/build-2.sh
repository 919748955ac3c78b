#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of the runtime and need no
# compiler; this checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$module" ]; then
    node --check "$module"
  fi
done
