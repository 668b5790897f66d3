"""Runs daemons as real processes, which a soak starts, signals and kills."""

import collections
from collections.abc import Sequence
import functools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
from typing import Final

import anyio
import attrs

from figstream_platform import program
from figstream_platform import standin_program

# Folder of the build that this soak belongs to.
ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_LAUNCHER: Final = pathlib.Path(__file__).parent / "launcher.py"
# Environment variable with the path of the file that holds the clock step.
CLOCK_VARIABLE: Final = "FIGSTREAM_SOAK_CLOCK"
GRACE_S: Final = 4.0
# Linux gives ports from 32768 on to outgoing connections.
_PORTS: Final = range(20_000, 32_000)
DAEMON_TIMES: Final = standin_program.DaemonTimes(
    GRACE_S, window_s=1.0, lease_ms=1000
)


# UDP sockets bound to the ports given last. Daemons use TCP only, so they keep
# other test processes from choosing the same ports until a daemon listens.
_claims: collections.deque[socket.socket] = collections.deque(maxlen=256)


# Sockets of the port to which connections hang, kept open.
_black_hole: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Returns local ports that are free at the moment.

    The ports are below those that the kernel gives to outgoing connections of
    other processes, one of which could otherwise take a port before the daemon
    listens there.
    """
    ports: list[int] = []
    generator = random.SystemRandom()
    while len(ports) < count:
        port = generator.choice(_PORTS)
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind(("127.0.0.1", port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        ports.append(port)
    return ports


def make_ports() -> standin_program.DaemonPorts:
    """Returns free local ports for one daemon."""
    return standin_program.DaemonPorts(*free_ports(4))


@functools.cache
def _black_hole_port() -> int:
    """Returns a local port to which connections hang while they open."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    _black_hole.append(listener)
    # These fill the queue of connections; the kernel drops further ones.
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        _black_hole.append(filler)
    port: int = listener.getsockname()[1]
    return port


@attrs.define
class DaemonProcess:
    """One daemon and its process.

    Attributes:
      name: name of the daemon.
      zone: availability zone of the daemon.
      ports: ports of the daemon.
      folder: folder of the settings, the log and the clock step.
      tree: folder of the build that the next start runs.
      times: durations in the settings.
    """

    name: str
    zone: str
    ports: standin_program.DaemonPorts
    folder: pathlib.Path
    tree: pathlib.Path = ROOT
    times: standin_program.DaemonTimes = DAEMON_TIMES
    _process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> pathlib.Path:
        """Returns the path of the log, which continues over restarts."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Returns whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Returns the process id, 0 before the first start."""
        return self._process.pid if self._process else 0

    def write_settings(self, store: int, seeds: list[int]) -> None:
        """Writes the settings file.

        Args:
          store: port of the store.
          seeds: ports of the peers to contact first.
        """
        text = standin_program.make_settings(
            self.name, self.zone, self.ports, store, self.times, seeds
        )
        self._settings.write_text(text)
        self.step_clock(0.0)

    def step_clock(self, seconds: float) -> None:
        """Sets the offset of the daemon's wall clock from the true time."""
        new_file = self._clock.with_suffix(".new")
        new_file.write_text(str(seconds))
        new_file.replace(self._clock)

    def block(self, ports: Sequence[int], *, silent: bool) -> None:
        """Cuts the daemon off from some ports.

        Args:
          ports: the ports; without any, all connections work again.
          silent: whether connections hang instead of being refused.
        """
        if not ports:
            self._blocked.unlink(missing_ok=True)
            return
        black_hole = _black_hole_port() if silent else 0
        new_file = self._blocked.with_suffix(".new-blocked")
        new_file.write_text(" ".join(map(str, (*ports, black_hole))))
        new_file.replace(self._blocked)

    def start(self) -> None:
        """Starts the process unless one runs."""
        if self.running:
            return
        with self.log.open("ab") as log_file:
            self._process = subprocess.Popen(
                [sys.executable, str(_LAUNCHER)],
                env={
                    **os.environ,
                    program.SETTINGS_VARIABLE: str(self._settings),
                    CLOCK_VARIABLE: str(self._clock),
                    # Of no other build.
                    "PYTHONPATH": str(self.tree),
                },
                stdout=log_file,
                stderr=subprocess.STDOUT,
                cwd=self.tree,
            )

    async def listens(self) -> bool:
        """Returns whether the daemon accepts connections of callers."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self.ports.front)
        except OSError:
            return False
        await stream.aclose()
        return True

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if one runs."""
        if self._process and self.running:
            self._process.send_signal(number)

    def kill_and_wait(self) -> None:
        """Kills the process and waits for the exit."""
        if self._process:
            self._process.kill()
            self._process.wait(10.0)

    @property
    def _settings(self) -> pathlib.Path:
        return self.folder / f"{self.name}.ini"

    @property
    def _clock(self) -> pathlib.Path:
        return self.folder / f"{self.name}.clock"

    @property
    def _blocked(self) -> pathlib.Path:
        return self.folder / f"{self.name}.blocked"
