#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec node "$PWD/review/k5/run.mjs"
