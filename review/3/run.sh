#!/usr/bin/env bash
# A release of half of the workers, two lost answers of the store, and a killed
# daemon. TROUBLE=0 leaves the lost answers out.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="target/deps:.:platform:review"
exec python3 review/3/case.py
