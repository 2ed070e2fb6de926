#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec node "$PWD/review/10/run.mjs"
