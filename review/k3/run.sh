#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec node "$PWD/review/k3/run.mjs"
