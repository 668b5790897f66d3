"""Starts a daemon whose clock and network can be disturbed from outside.

The wall clock is stepped; monotonic clocks are not affected, as on a VM whose
wall clock is set. New connections to the ports that a file lists fail; open
ones are reset when the daemon next sends on them. `daemons` runs this file as
the program of each daemon process.
"""

import importlib.util
import os
import pathlib
import runpy
import socket
import sys
import time
from typing import Any

# Folder of the build to run.
_ROOT = pathlib.Path.cwd()
_clock_step_file = pathlib.Path(os.environ["FIGSTREAM_SOAK_CLOCK"])
# The ports, then a port that accepts no connection; empty if none is blocked.
_blocked_file = _clock_step_file.with_suffix(".blocked")
_true_time = time.time
_true_connect = socket.socket.connect
_true_send = socket.socket.send


def _stepped_time() -> float:
    return _true_time() + float(_clock_step_file.read_text() or "0")


def _blocked_ports() -> tuple[list[str], int]:
    """Returns the blocked ports, and that to which connections hang or 0."""
    if not _blocked_file.exists():
        return [], 0
    *ports, silent = _blocked_file.read_text().split()
    return ports, int(silent)


def _connect(self: socket.socket, address: Any) -> None:
    if self.family == socket.AF_INET:
        ports, silent = _blocked_ports()
        if str(address[1]) in ports:
            if not silent:
                raise ConnectionRefusedError
            address = ("127.0.0.1", silent)
    _true_connect(self, address)


def _send(self: socket.socket, data: Any, *more: Any) -> int:
    if self.family == socket.AF_INET:
        ports, _ = _blocked_ports()
        if ports and str(self.getpeername()[1]) in ports:
            raise ConnectionResetError
    return _true_send(self, data, *more)


time.time = _stepped_time
socket.socket.connect = _connect  # type: ignore[method-assign, assignment]
socket.socket.send = _send  # type: ignore[method-assign, assignment]
_found = importlib.util.find_spec("figstream")
if not _found or not pathlib.Path(_found.origin or "").is_relative_to(_ROOT):
    raise SystemExit(f"{_found} is not of {_ROOT}; uninstall figstream")
# Runs the program with the import path of a direct start.
sys.path[0] = str(_ROOT / "platform")
runpy.run_path(str(_ROOT / "platform" / "start.py"), run_name="__main__")
