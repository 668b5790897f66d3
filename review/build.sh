#!/usr/bin/env bash
# Prepares what the scripts of the cases start beside the daemons: the
# stand-ins of this project and the module that the cases share. The build of
# the deploy file must have run before, since it installs the libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q figstream platform/figstream_platform review
PYTHONPATH=target/deps:.:platform:review python3 -c "import small_system"
