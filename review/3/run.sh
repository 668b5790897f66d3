#!/usr/bin/env bash
# A release in two steps, one lost answer of the store, and a killed daemon.
# TROUBLE=0 leaves the lost answer out.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="target/deps:.:platform:review"
exec python3 review/3/case.py
