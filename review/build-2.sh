#!/usr/bin/env bash
# Builds the scripts of cases 6 to 10 and their stand-ins, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/tsconfig.json
