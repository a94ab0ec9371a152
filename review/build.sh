#!/bin/sh
# Compiles the scripts of the cases and their stand-ins into out/review/.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/tsconfig.json
