"""Injects faults into calls to the stand-in platform, and counts the calls.

Each call of a client passes a `FaultGate`, which delays, refuses, loses or
answers the call according to the fault settings. Tests set them in memory,
benchmarks over HTTP.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import Final
from typing import TypeVar

import anyio
import attrs

from figstream import clock as clock_lib
from figstream import platform_api

_T = TypeVar("_T")
# The rate limit admits the calls of this period in one burst.
_BURST_PERIOD_S: Final = 1.0


class CallKind(enum.StrEnum):
    """Kinds of calls to the platform; a waiting watch counts as one call."""

    READ = "read"
    WRITE = "write"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"
    LIST_VMS = "list_vms"
    ORDER = "order"
    LIST_SERVERS = "list_servers"
    REPORT = "report"
    RESERVE = "reserve"


@attrs.define
class FaultSettings:
    """Faults of the whole platform that a test can set.

    Attributes:
      down: every call fails without effect.
      delay_s: seconds added to each call.
      calls_per_s: calls admitted per second, 0 for no limit.
      blocked_clients: names of clients that a network partition
        separates from the platform.
      lose_answers: by kind of call, how many of the next calls take effect
        but get no answer.
      lose_requests: by kind of call, how many of the next calls neither take
        effect nor get an answer.
      watches_fail: whether watches end without an answer.
      watches_report_gap: whether watches report that changes may be missing.
      skip_changes: how many of the next changes watches do not report; a
        watch that skips a change continues to wait.
      fencing_ignored: whether orders with an old fencing number are
        accepted.
      vms_frozen: whether every call returns the last list of VMs again.
    """

    down: bool = False
    delay_s: float = 0.0
    calls_per_s: float = 0.0
    blocked_clients: set[str] = attrs.field(factory=set)
    lose_answers: dict[CallKind, int] = attrs.field(factory=dict)
    lose_requests: dict[CallKind, int] = attrs.field(factory=dict)
    watches_fail: bool = False
    watches_report_gap: bool = False
    skip_changes: int = 0
    fencing_ignored: bool = False
    vms_frozen: bool = False


class FaultGate:
    """Applies the faults to each call and counts it."""

    def __init__(self, clock: clock_lib.Clock | None = None) -> None:
        """Initializes a gate without faults; the rate limit uses the clock."""
        self.faults = FaultSettings()
        self.calls: collections.Counter[CallKind] = collections.Counter()
        self.last_vms: tuple[platform_api.VirtualMachine, ...] | None = None
        self._clock = clock or clock_lib.SystemClock()
        self._tokens = 0.0
        self._refilled_at = float("-inf")

    @property
    def counters(self) -> Mapping[str, int]:
        """Returns the number of calls received by kind."""
        return {kind.value: self.calls[kind] for kind in CallKind}

    async def read(
        self, kind: CallKind, client: str, call: Callable[[], Awaitable[_T]]
    ) -> _T | platform_api.Unavailable:
        """Makes a call that changes nothing on the platform."""
        if refused := await self._admit(kind, client):
            return platform_api.Unavailable(refused.detail)
        answer = await call()
        # A partition or an outage may have begun while a watch was waiting.
        if client in self.faults.blocked_clients or self.faults.down:
            return platform_api.Unavailable(
                "the platform became unreachable during the call"
            )
        if _consume_fault(self.faults.lose_answers, kind):
            return platform_api.Unavailable("the answer was lost")
        return answer

    async def write(
        self, kind: CallKind, client: str, call: Callable[[], Awaitable[_T]]
    ) -> _T | platform_api.Unavailable | platform_api.Unknown:
        """Makes a call that changes something on the platform."""
        if refused := await self._admit(kind, client):
            return refused
        if _consume_fault(self.faults.lose_requests, kind):
            return platform_api.Unknown("the request was lost")
        answer = await call()
        if _consume_fault(self.faults.lose_answers, kind):
            return platform_api.Unknown("the answer was lost")
        return answer

    async def watch(
        self,
        client: str,
        position: int,
        call: Callable[
            [int], Awaitable[platform_api.Changes | platform_api.Unavailable]
        ],
    ) -> platform_api.Changes | platform_api.Unavailable:
        """Makes a watch, which may fail or skip changes.

        Args:
          client: name of the daemon that watches.
          position: position from which to watch.
          call: makes the watch from a given position.
        """
        if self.faults.watches_fail:
            self.calls[CallKind.WATCH] += 1
            return platform_api.Unavailable("the watch failed")
        changes = await self.read(
            CallKind.WATCH, client, lambda: call(position)
        )
        while isinstance(changes, platform_api.Changes) and self._skip_change(
            changes
        ):
            changes = await call(changes.position)
        if isinstance(changes, platform_api.Unavailable):
            return changes
        gap = changes.gap or self.faults.watches_report_gap
        return platform_api.Changes(changes.names, changes.position, gap)

    def _skip_change(self, changes: platform_api.Changes) -> bool:
        if not changes.names or self.faults.skip_changes <= 0:
            return False
        self.faults.skip_changes -= 1
        return True

    async def _admit(
        self, kind: CallKind, client: str
    ) -> platform_api.Unavailable | platform_api.Unknown | None:
        self.calls[kind] += 1
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            return platform_api.Unavailable("the platform is down")
        if client in self.faults.blocked_clients:
            return platform_api.Unknown("the network is partitioned")
        if self.faults.calls_per_s and not self._take_token():
            return platform_api.Unavailable("too many calls per second")
        return None

    def _take_token(self) -> bool:
        now = self._clock.now()
        gained = (now - self._refilled_at) * self.faults.calls_per_s
        burst = self.faults.calls_per_s * _BURST_PERIOD_S
        self._tokens = min(burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _consume_fault(counts: dict[CallKind, int], kind: CallKind) -> bool:
    if counts.get(kind, 0) <= 0:
        return False
    counts[kind] -= 1
    return True
