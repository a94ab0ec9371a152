#!/usr/bin/env bash
# Installs, builds the binary and demonstrates one request on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund --loglevel=error
npm run --silent build
npm run --silent demonstrate
