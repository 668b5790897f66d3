"""Starts a daemon whose clock and network can be disturbed from outside.

The wall clock is stepped; monotonic clocks are not affected, as on a VM whose
wall clock is set. New connections to the ports that a file lists fail; open
ones go on. `daemons` runs this file as the program of each daemon process.
"""

import os
import pathlib
import runpy
import socket
import sys
import time
from typing import Any

_ROOT = pathlib.Path(__file__).parent.parent
_clock_step_file = pathlib.Path(os.environ["FIGSTREAM_SOAK_CLOCK"])
# The ports, then a port that accepts no connection; empty if none is blocked.
_blocked_file = _clock_step_file.with_suffix(".blocked")
_true_time = time.time
_true_connect = socket.socket.connect


def _stepped_time() -> float:
    return _true_time() + float(_clock_step_file.read_text() or "0")


def _connect(self: socket.socket, address: Any) -> None:
    if self.family == socket.AF_INET and _blocked_file.exists():
        *blocked, silent = _blocked_file.read_text().split()
        if str(address[1]) in blocked:
            if silent == "0":
                raise ConnectionRefusedError
            address = ("127.0.0.1", int(silent))
    _true_connect(self, address)


time.time = _stepped_time
socket.socket.connect = _connect  # type: ignore[method-assign, assignment]
# Runs the program with the import path of a direct start.
sys.path[0] = str(_ROOT / "platform")
runpy.run_path(str(_ROOT / "platform" / "start.py"), run_name="__main__")
