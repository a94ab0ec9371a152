#!/usr/bin/env bash
# A stopping gateway takes streams whose runners then slow down. TROUBLE=0: they keep their pace.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -f target/jujubelane.cjs ] && [ -f out/review/9/main.js ] || exit 2
exec node out/review/9/main.js
