"""Runs daemons and the stand-in platform as processes, and measures them.

The daemon benchmark (`daemons`) uses this module.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import datetime
import itertools
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
from typing import Final

import attrs

from figstream import configuration_tree
from figstream import rendezvous

HOST: Final = "127.0.0.1"
_STOP_TIMEOUT_S: Final = 10.0
_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
_STAT_UTIME_FIELD: Final = 11
_ACTIVATION_LINE: Final = re.compile(
    r"^time=(\S+) .*event=configuration_taken generation=(\d+) "
)


@attrs.frozen
class DaemonPorts:
    """Name, zone and listening ports of one daemon."""

    name: str
    zone: str
    caller: int
    peer: int
    operator: int


@attrs.frozen
class ProcessUsage:
    """Processor time used by a process since its start, and resident memory."""

    cpu_s: float
    resident_bytes: int


@attrs.define
class FleetProcesses:
    """The running processes of a fleet.

    Attributes:
      directory: directory of the settings and logs.
      daemons: the daemons.
      platform_url: base address of the stand-in platform.
      processes: process of each daemon by name.
    """

    directory: pathlib.Path
    daemons: Sequence[DaemonPorts]
    platform_url: str
    processes: dict[str, subprocess.Popen[bytes]]

    def usage(self) -> Mapping[str, ProcessUsage]:
        """Returns the processor time and memory of each daemon by name."""
        return {
            name: _read_usage(process.pid)
            for name, process in self.processes.items()
        }

    def bytes_sent(self) -> int:
        """Returns the bytes sent on open connections of all daemons."""
        pids = {process.pid for process in self.processes.values()}
        return _bytes_sent(pids)

    def activation_times(self, generation: int) -> Mapping[str, float]:
        """Returns the Unix time at which each daemon activated a generation.

        A later generation counts too. Daemons whose logs show neither are
        left out.
        """
        times = {
            item.name: [
                at
                for found, at in _read_activations(
                    self.directory / f"{item.name}.log"
                )
                if found >= generation
            ]
            for item in self.daemons
        }
        return {name: min(found) for name, found in times.items() if found}

    def watchers(self, zone: str) -> Sequence[str]:
        """Returns the daemons of a zone that watch the platform for changes."""
        names = [item.name for item in self.daemons if item.zone == zone]
        ranked = rendezvous.rank(configuration_tree.ROLE, names)
        return ranked[: configuration_tree.WATCHERS_PER_ZONE]

    @contextlib.contextmanager
    def pause(self, names: Sequence[str]) -> Iterator[None]:
        """Pauses the processes of some daemons within the block."""
        for name in names:
            self.processes[name].send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            for name in names:
                self.processes[name].send_signal(signal.SIGCONT)


def free_ports(count: int) -> Sequence[int]:
    """Returns ports that were free when they were checked."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server((HOST, 0)))
            for _ in range(count)
        ]
        return [item.getsockname()[1] for item in sockets]


@contextlib.contextmanager
def run_fleet(
    directory: pathlib.Path, count: int, zones: int
) -> Iterator[FleetProcesses]:
    """Runs the stand-in platform and daemons within the block."""
    directory.mkdir()
    ports = free_ports(3 * count + 1)
    daemons = [
        DaemonPorts(f"vm-{index:03}", f"zone-{index % zones}", *found)
        for index, found in enumerate(
            zip(ports[1::3], ports[2::3], ports[3::3], strict=True)
        )
    ]
    url = f"http://{HOST}:{ports[0]}"
    with contextlib.ExitStack() as stack:
        platform = directory / "platform.ini"
        platform.write_text(_platform_settings(ports[0], daemons))
        arguments = ("stand-in", "platform", "--config", str(platform))
        _start(stack, directory / "platform.log", arguments)
        processes = {}
        for item in daemons:
            settings = directory / f"{item.name}.ini"
            settings.write_text(_daemon_settings(item, url))
            processes[item.name] = _start(
                stack,
                directory / f"{item.name}.log",
                ("serve", "--config", str(settings)),
            )
        yield FleetProcesses(directory, daemons, url, processes)


def _start(
    stack: contextlib.ExitStack, log: pathlib.Path, arguments: Sequence[str]
) -> subprocess.Popen[bytes]:
    output = stack.enter_context(log.open("wb"))
    process = subprocess.Popen(
        (sys.executable, "-m", "figstream", *arguments),
        stdout=output,
        stderr=subprocess.STDOUT,
    )
    stack.callback(_stop, process)
    return process


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait(_STOP_TIMEOUT_S)


def _platform_settings(port: int, daemons: Sequence[DaemonPorts]) -> str:
    vms = (f"{d.name} = {HOST}:{d.peer} {d.zone}" for d in daemons)
    return "\n".join((f"[platform]\nport = {port}\n[vms]", *vms, ""))


def _daemon_settings(daemon: DaemonPorts, url: str) -> str:
    return "\n".join(
        (
            f"[vm]\nname = {daemon.name}\nzone = {daemon.zone}",
            f"region = bench\naddress = {HOST}",
            f"[callers]\ncaller_port = {daemon.caller}",
            f"[peers]\npeer_port = {daemon.peer}",
            f"[operators]\noperator_port = {daemon.operator}",
            f"[platform]\nplatform_url = {url}\n",
        )
    )


def _read_usage(pid: int) -> ProcessUsage:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_STAT_UTIME_FIELD]) + int(fields[_STAT_UTIME_FIELD + 1])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)


def _bytes_sent(pids: set[int]) -> int:
    listing = subprocess.run(
        ("ss", "-tinpH"), capture_output=True, check=True, text=True
    ).stdout
    total = 0
    for line, detail in itertools.pairwise(listing.splitlines()):
        owners = {int(pid) for pid in re.findall(r"pid=(\d+)", line)}
        sent = re.search(r"bytes_sent:(\d+)", detail)
        if owners & pids and sent:
            total += int(sent.group(1))
    return total


def _read_activations(log: pathlib.Path) -> Iterator[tuple[int, float]]:
    for line in log.read_text(errors="replace").splitlines():
        if match := _ACTIVATION_LINE.match(line):
            at = datetime.datetime.fromisoformat(match.group(1))
            yield int(match.group(2)), at.timestamp()
