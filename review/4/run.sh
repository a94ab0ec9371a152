#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -f out/review/4/main.js ] && [ -f target/jujubelane.cjs ] || exit 2
exec node out/review/4/main.js
