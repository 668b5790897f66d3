"""Daemons as real processes, with what a soak does to them by signals."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Final

import anyio
import attrs

from figstream_platform import program
from figstream_platform import standin_program

_ROOT: Final = pathlib.Path(__file__).parent.parent
_LAUNCHER: Final = pathlib.Path(__file__).parent / "launcher.py"
# Name of the variable that holds the file with the step of the clock.
CLOCK_VARIABLE: Final = "FIGSTREAM_SOAK_CLOCK"
GRACE_S: Final = 4.0
_TIMES: Final = standin_program.DaemonTimes(
    GRACE_S, window_s=1.0, lease_ms=1000
)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in held]
    for item in held:
        item.close()
    return ports


def make_ports() -> standin_program.DaemonPorts:
    """Returns ports that are free now."""
    return standin_program.DaemonPorts(*free_ports(4))


@attrs.define
class DaemonProcess:
    """One daemon and its process.

    Attributes:
      name: its name.
      zone: its availability zone.
      ports: its ports.
      folder: where its settings and its log are.
    """

    name: str
    zone: str
    ports: standin_program.DaemonPorts
    folder: pathlib.Path
    _process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> pathlib.Path:
        """Returns the file with its log, over all restarts."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Returns whether its process is there."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Returns the id of its process, 0 before the first start."""
        return self._process.pid if self._process else 0

    def write_settings(self, store: int, seeds: list[int]) -> None:
        """Writes its settings; the seeds are ports of peers."""
        text = standin_program.make_settings(
            self.name, self.zone, self.ports, store, _TIMES, seeds
        )
        self._settings.write_text(text)
        self.step_clock(0.0)

    def step_clock(self, seconds: float) -> None:
        """Makes its time of day differ by so much from now on."""
        fresh = self._clock.with_suffix(".new")
        fresh.write_text(str(seconds))
        fresh.replace(self._clock)

    def start(self) -> None:
        """Starts its process unless it runs."""
        if self.running:
            return
        with self.log.open("ab") as sink:
            self._process = subprocess.Popen(
                [sys.executable, str(_LAUNCHER)],
                env={
                    **os.environ,
                    program.SETTINGS_VARIABLE: str(self._settings),
                    CLOCK_VARIABLE: str(self._clock),
                },
                stdout=sink,
                stderr=subprocess.STDOUT,
                cwd=_ROOT,
            )

    async def listens(self) -> bool:
        """Returns whether it takes connections of callers."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self.ports.front)
        except OSError:
            return False
        await stream.aclose()
        return True

    def send(self, number: signal.Signals) -> None:
        """Sends its process a signal if it runs."""
        if self._process and self.running:
            self._process.send_signal(number)

    def end(self) -> None:
        """Ends its process at once and waits for that."""
        if self._process:
            self._process.kill()
            self._process.wait(10.0)

    @property
    def _settings(self) -> pathlib.Path:
        return self.folder / f"{self.name}.ini"

    @property
    def _clock(self) -> pathlib.Path:
        return self.folder / f"{self.name}.clock"
