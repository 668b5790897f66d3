#!/usr/bin/env bash
# SIGTERM, and SIGHUP while the daemon finishes its requests. TROUBLE=0 leaves
# the SIGHUP out.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH="target/deps:.:platform:review"
exec python3 review/1/case.py
