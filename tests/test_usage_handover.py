"""Tests of the ledger and of the transfer of deltas between real servers.

They guard against counts that are lost with their daemon or its zone: if
`CopySender` chooses a daemon in its own zone, or `UsageCopies.orphans` returns
nothing, the copies are lost or never delivered. Without the growing interval
between deltas in the ledger, a long outage leaves too many deltas.
"""

from collections.abc import Sequence
import functools

import attrs
import grpc
import pytest

from figstream import clock as clock_lib
from figstream import membership_api
from figstream import metrics
from figstream import notices as notices_lib
from figstream import platform_memory
from figstream import sealing_notices
from figstream import serialization
from figstream import usage_api
from figstream import usage_delta
from figstream import usage_handover
from figstream import usage_ledger
from figstream import usage_sealing
from figstream import usage_window

_WINDOW_S = 60.0
_METRICS = metrics.make_unexported_metrics()
_ITEM = usage_api.UsageItem("studio", "chat", 1, 10, 5)


@attrs.define
class _ManualLease:
    """A lease that a test grants and withdraws."""

    number: int | None = None
    name: str = "usage"

    def fencing(self) -> int | None:
        return self.number


@attrs.define
class _Members:
    """The live daemons as one of them sees them, in a fixed order."""

    own_member: membership_api.Member
    all_members: dict[str, membership_api.Member]

    def this(self) -> membership_api.Member:
        return self.own_member

    def live(self) -> Sequence[membership_api.Member]:
        return list(self.all_members.values())

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return list(self.all_members.values())

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return grpc.aio.insecure_channel(member.address)


class _Fleet:
    """Daemons with real peer servers that share a platform and a clock."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock(6000.0)
        self.platform = platform_memory.MemoryPlatform()
        self.members: dict[str, membership_api.Member] = {}
        self.servers: dict[str, grpc.aio.Server] = {}
        self.leases: dict[str, _ManualLease] = {}
        self.ledgers: dict[str, usage_ledger.Ledger] = {}
        self.sealing: dict[str, usage_sealing.UsageSealing] = {}
        self.roles: dict[str, usage_handover.UsageHandover] = {}
        self.notices: dict[str, notices_lib.Notices] = {}
        # Without notices, daemons probe others for the sealing daemon.
        self.notices_pass = False

    async def start(self, name: str, zone: str, run: int = 1) -> None:
        ledger = usage_ledger.make_ledger(
            usage_delta.RunId(name, run), self.clock, _METRICS, _WINDOW_S
        )
        lease = _ManualLease()
        sealing = usage_sealing.UsageSealing(
            lease, self.platform.interfaces(), self.clock, _METRICS, _WINDOW_S
        )
        server = grpc.aio.server()
        port = server.add_insecure_port("127.0.0.1:0")
        member = membership_api.Member(
            name, zone, "here", f"127.0.0.1:{port}", run
        )
        self.members[name] = member
        notices = notices_lib.Notices(
            len(self.notices) + 1, zone, self.clock, _METRICS
        )
        notices.set_forward(functools.partial(self._forward, name))
        self.notices[name] = notices
        role = usage_handover.UsageHandover(
            ledger,
            sealing,
            _Members(member, self.members),
            self.clock,
            _METRICS,
            usage_ledger.delta_interval_s(_WINDOW_S),
            sealing_notices.SealingNotices(name, notices, self.clock),
        )
        role.register(server)
        await server.start()
        self.servers[name] = server
        self.leases[name] = lease
        self.ledgers[name] = ledger
        self.sealing[name] = sealing
        self.roles[name] = role

    def _forward(self, name: str, notice: notices_lib.Notice) -> None:
        for other, notices in self.notices.items():
            if other != name and self.notices_pass:
                notices.receive(notice)

    async def stop(self, name: str) -> None:
        await self.servers.pop(name).stop(None)
        del self.members[name]

    async def exchange(self, *names: str) -> None:
        for name in names:
            await self.roles[name].exchange()

    def booked(self) -> int:
        reports = [
            serialization.from_json(body, usage_window.UsageReport)
            for body in self.platform.usage.booked.values()
        ]
        return sum(
            item.requests
            for report in reports
            for item in (*report.figures, *report.carried)
        )

    async def seal(self, name: str, *others: str) -> None:
        """Seals three windows; the other daemons deliver in between."""
        for _ in range(3):
            self.clock.advance(_WINDOW_S)
            await self.sealing[name].step()
            await self.exchange(name, *others)


@pytest.mark.anyio
async def test_lost_zone_is_counted_once_from_its_copies() -> None:
    fleet = _Fleet()
    for name, zone in ("a-near", "zone-a"), ("a", "zone-a"), ("b", "zone-b"):
        await fleet.start(name, zone)
        fleet.ledgers[name].add(_ITEM)
    fleet.clock.advance(11.0)
    await fleet.exchange("a", "b")
    fleet.ledgers["a"].add(_ITEM)
    fleet.clock.advance(11.0)
    await fleet.exchange("a", "a-near")
    assert len(fleet.ledgers["a"].outstanding) == 2
    await fleet.stop("a")
    await fleet.stop("a-near")
    await fleet.start("a", "zone-a", run=2)
    fleet.ledgers["a"].add(_ITEM)
    fleet.leases["b"].number = 1
    await fleet.sealing["b"].step()
    await fleet.seal("b", "a")
    assert fleet.booked() == 5
    assert not fleet.ledgers["a"].outstanding
    for name in "a", "b":
        await fleet.stop(name)


@pytest.mark.anyio
async def test_new_sealing_daemon_gets_what_the_dead_one_held() -> None:
    fleet = _Fleet()
    for name, zone in ("a", "zone-a"), ("b", "zone-b"), ("c", "zone-c"):
        await fleet.start(name, zone)
        fleet.ledgers[name].add(_ITEM)
    fleet.leases["c"].number = 1
    await fleet.sealing["c"].step()
    fleet.clock.advance(11.0)
    await fleet.exchange("c", "a", "b")
    await fleet.stop("c")
    fleet.leases["a"].number = 2
    await fleet.sealing["a"].step()
    await fleet.seal("a", "b")
    assert fleet.booked() == 3
    for name in "a", "b":
        await fleet.stop(name)


@pytest.mark.anyio
async def test_every_daemon_of_a_large_fleet_finds_the_sealing_one() -> None:
    """Fails if daemons find the sealing daemon only by probing the fleet.

    The lease goes to the daemon that ranked first among those that it knew,
    often the one that started first. Seen on quiet-1 of the large site: the
    counts of the first 25 seconds missed their windows (entry 9cc87222).
    """
    fleet = _Fleet()
    fleet.notices_pass = True
    names = [f"d{number:02}" for number in range(24)]
    for name in names:
        await fleet.start(name, f"zone-{name[-1]}")
        fleet.ledgers[name].add(_ITEM)
    sealer = names[-1]
    fleet.leases[sealer].number = 1
    await fleet.sealing[sealer].step()
    fleet.clock.advance(11.0)
    await fleet.exchange(sealer)
    await fleet.exchange(*names[:-1])
    held = sum(
        item.requests
        for draft in fleet.sealing[sealer]._drafts
        for item in draft.figures
    )
    assert held == len(names)
    for name in names:
        await fleet.stop(name)


@pytest.mark.anyio
async def test_leaving_daemon_hands_every_count_over() -> None:
    fleet = _Fleet()
    await fleet.start("a", "zone-a")
    await fleet.start("b", "zone-b")
    fleet.ledgers["a"].add(_ITEM)
    await fleet.roles["a"].hand_over()
    await fleet.stop("a")
    fleet.leases["b"].number = 1
    await fleet.sealing["b"].step()
    await fleet.seal("b")
    assert fleet.booked() == 1
    await fleet.stop("b")


def test_long_outage_leaves_a_bounded_number_of_deltas() -> None:
    clock = clock_lib.ManualClock(6000.0)
    run = usage_delta.RunId("a", 1)
    ledger = usage_ledger.make_ledger(run, clock, _METRICS, _WINDOW_S)
    for _ in range(36_000):
        ledger.add(_ITEM)
        clock.advance(10.0)
        ledger.cut_if_due()
    ledger.cut()
    assert len(ledger.outstanding) <= 200
    items = [item for delta in ledger.outstanding for item in delta.items]
    assert sum(item.requests for item in items) == 36_000
