"""Starts a daemon whose time of day can be stepped from outside.

Only the time of day: clocks that never go back keep running, as on a VM whose
clock is set.
"""

import os
import pathlib
import runpy
import sys
import time

_ROOT = pathlib.Path(__file__).parent.parent
_file = pathlib.Path(os.environ["FIGSTREAM_SOAK_CLOCK"])
_true_time = time.time


def _stepped_time() -> float:
    return _true_time() + float(_file.read_text() or "0")


time.time = _stepped_time
# As if the program itself had been started.
sys.path[0] = str(_ROOT / "platform")
runpy.run_path(str(_ROOT / "platform" / "start.py"), run_name="__main__")
