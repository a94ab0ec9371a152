#!/usr/bin/env bash
# Installs dependencies, builds the binary and sends demonstration requests to it on the loopback interface.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund --loglevel=error
npm run --silent build
npm run --silent demonstrate
