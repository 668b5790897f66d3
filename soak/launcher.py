"""Starts a daemon whose wall clock can be stepped from outside.

Monotonic clocks are not affected, as on a VM whose wall clock is set.
`daemons` runs this file as the program of each daemon process.
"""

import os
import pathlib
import runpy
import sys
import time

_ROOT = pathlib.Path(__file__).parent.parent
_clock_step_file = pathlib.Path(os.environ["FIGSTREAM_SOAK_CLOCK"])
_true_time = time.time


def _stepped_time() -> float:
    return _true_time() + float(_clock_step_file.read_text() or "0")


time.time = _stepped_time
# Runs the program with the import path of a direct start.
sys.path[0] = str(_ROOT / "platform")
runpy.run_path(str(_ROOT / "platform" / "start.py"), run_name="__main__")
