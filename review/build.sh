#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do
    node --check "$file"
done
