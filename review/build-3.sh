#!/bin/sh
# The stand-ins of cases 11 to 14 stand in review/lib4 and need Node.js alone: nothing is compiled. Checks that they load.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib4/*.mjs review/1[1-4]/case.mjs; do
  if [ -f "$file" ]; then
    node --check "$file" || exit 1
  fi
done
