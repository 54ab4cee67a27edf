#!/bin/sh
# The stand-ins of the cases are plain modules that need only Node's own: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in ./*.mjs ./[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
