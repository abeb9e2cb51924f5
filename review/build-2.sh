#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript without a build step of their own; this checks that each can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
