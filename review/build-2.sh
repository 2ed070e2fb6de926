#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules in lib2/ and lib3/ that
# need no build and no package. This checks that each of them can be read.
cd "$(dirname "$0")" || exit 1
for file in lib2/*.mjs lib3/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  node --check "$file" || exit 1
done
