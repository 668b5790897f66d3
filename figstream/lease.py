"""A lease that one daemon of many holds, with a fencing number.

It is an object of the platform, taken and renewed by conditional update. The
holder counts its duration from before the renewing write was sent. Whoever
wants to take it over must have seen the object unchanged for the whole
duration on its own clock, and then waits once more for the timeout of an
order, so that no order of the old holder can still arrive. The clock is
CLOCK_BOOTTIME, which goes on while a VM is suspended.
"""

import random
from typing import Final

import anyio
import attrs

from figstream import daemon_context
from figstream import lease_store
from figstream import logs
from figstream import membership_api
from figstream import platform_api

# Clocks of two VMs may run this much apart, as a part of the duration.
DRIFT: Final = 0.05
# Renewals in a duration: two may be lost.
_RENEWALS: Final = 3
# Daemons that look whether the lease is free; several may be leaving,
# paused or turned away by the platform at once.
_CANDIDATES: Final = 4
# How often they look in the time between two renewals.
_LOOKS_PER_RENEWAL: Final = 2
# Part of the duration by which each of them waits longer than the one before.
_PATIENCE_STEP: Final = 0.1
# Writes before the lease is left to lapse.
_RESIGN_ATTEMPTS: Final = 3
_NEVER: Final = float("-inf")


@attrs.frozen
class LeaseTimes:
    """The durations of a lease, in seconds.

    Attributes:
      duration_s: length of the lease.
      order_s: timeout of an order sent under it.
    """

    duration_s: float
    order_s: float

    @property
    def margin_s(self) -> float:
        """Returns seconds before its end when the lease is not used."""
        return self.order_s + DRIFT * self.duration_s

    @property
    def interval_s(self) -> float:
        """Returns seconds between renewals."""
        return self.duration_s / _RENEWALS


@attrs.define
class _Tenure:
    """What this daemon holds.

    Attributes:
      stored: what is stored, as last known.
      ends_at: when the lease ends unless it is renewed.
      usable_from: when the wait after the take-over is over.
      sent_at: when each write was sent whose fate is open.
    """

    stored: lease_store.StoredLease
    ends_at: float
    usable_from: float
    sent_at: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class _Observed:
    """Another holder's write and when it was first seen."""

    version: int
    at: float


class HeldLease:
    """A lease sought by this daemon; satisfies `Lease` and `Role`."""

    def __init__(
        self,
        name: str,
        zone: str,
        context: daemon_context.DaemonContext,
        members: membership_api.Members,
        times: LeaseTimes,
    ) -> None:
        """Seeks the lease among the live daemons of a zone, or of all."""
        self._name = name
        self._zone = zone
        self._context = context
        self._clock = context.clock
        self._members = members
        self._times = times
        self._vm = context.options.name
        self._start_number = context.start_number
        self._store = lease_store.LeaseStore(
            context.platform.objects, name, f"{self._vm}-{self._start_number}"
        )
        self._random = random.Random(context.start_number)
        self._lock = anyio.Lock()
        self._tenure: _Tenure | None = None
        self._observed: _Observed | None = None
        self._resigned = False

    @property
    def name(self) -> str:
        """Returns the name of the lease."""
        return self._name

    @property
    def times(self) -> LeaseTimes:
        """Returns the durations of the lease."""
        return self._times

    @property
    def state(self) -> str:
        """Returns what is recorded with the lease, "" if it isn't held."""
        return self._tenure.stored.record.state if self._tenure else ""

    def fencing(self) -> int | None:
        """Returns the fencing number while the lease surely holds."""
        tenure = self._tenure
        now = self._clock.now()
        if tenure is None or self._resigned or now < tenure.usable_from:
            return None
        if now >= tenure.ends_at - self._times.margin_s:
            return None
        return tenure.stored.record.fencing

    async def run(self) -> None:
        """Takes and renews the lease until cancelled."""
        while True:
            await self.step()
            spread = self._random.uniform(0.8, 1.0)
            interval_s = self._times.interval_s
            if self._tenure is None:
                interval_s /= _LOOKS_PER_RENEWAL
            await self._clock.sleep(interval_s * spread)

    async def step(self) -> None:
        """Renews the lease if it is held, else looks whether it is free."""
        if self._resigned:
            return
        async with self._lock:
            if self._tenure:
                await self._write(self._tenure, self.state)
            else:
                await self._seek()

    async def record(self, state: str) -> bool:
        """Records something with the lease, and renews it.

        Returns:
          Whether it is surely stored while the lease surely holds. If not,
          it may be stored all the same; see `state`.
        """
        async with self._lock:
            if self._tenure is None or self.fencing() is None:
                return False
            kept = await self._write(self._tenure, state)
        return kept and self.fencing() is not None

    async def hand_over(self) -> None:
        """Gives the lease up, so that another daemon need not wait."""
        self._resigned = True
        async with self._lock:
            for _ in range(_RESIGN_ATTEMPTS):
                if self._tenure is None:
                    return
                if await self._write(self._tenure, self.state, holder=""):
                    self._tenure = None

    async def _write(
        self, tenure: _Tenure, state: str, *, holder: str | None = None
    ) -> bool:
        """Writes the lease again; returns whether this write is stored."""
        write_id = self._store.next_write_id()
        record = attrs.evolve(
            tenure.stored.record, state=state, write_id=write_id
        )
        if holder is not None:
            record = attrs.evolve(record, holder=holder)
        sent_at = tenure.sent_at[write_id] = self._clock.now()
        outcome = await self._store.put(record, tenure.stored.version)
        match outcome:
            case lease_store.Kept():
                self._extend(
                    tenure,
                    lease_store.StoredLease(record, outcome.version),
                    sent_at,
                )
                return True
            case lease_store.Replaced():
                self._judge(tenure, outcome.found)
            case lease_store.NotWritten():
                del tenure.sent_at[write_id]
                self._context.metrics.event("lease_not_renewed")
            case lease_store.Undecided():
                self._context.metrics.event("lease_write_undecided")
        return False

    def _extend(
        self,
        tenure: _Tenure,
        stored: lease_store.StoredLease,
        sent_at: float,
    ) -> None:
        # Every other write of ours named an older version and can't land.
        tenure.sent_at.clear()
        tenure.stored = stored
        ends_at = sent_at + self._times.duration_s
        tenure.ends_at = max(tenure.ends_at, ends_at)

    def _judge(
        self, tenure: _Tenure, found: lease_store.StoredLease | None
    ) -> None:
        """Tells an own write that landed late from another holder's."""
        if found and found.record.write_id in tenure.sent_at:
            sent_at = tenure.sent_at[found.record.write_id]
            self._extend(tenure, found, sent_at)
            return
        self._tenure = None
        self._context.metrics.event("lease_lost")
        logs.warning("lease_lost", lease=self._name)

    async def _seek(self) -> None:
        rank = self._rank()
        if rank >= _CANDIDATES:
            self._observed = None
            return
        # An old answer only delays a take-over, whose write names the version.
        found = await self._store.read(stale=True)
        if isinstance(found, platform_api.Unavailable):
            # The holder may not reach the platform either; it gets the time
            # to renew once the platform is back.
            self._observed = None
            return
        if isinstance(found, platform_api.Absent):
            if rank == 0:
                await self._take(None)
            return
        if self._is_free(found, rank):
            await self._take(found)

    def _rank(self) -> int:
        ranked = self._members.ranked(f"lease/{self._name}", self._zone)
        names = [item.name for item in ranked]
        return names.index(self._vm) if self._vm in names else len(names)

    def _is_free(self, found: lease_store.StoredLease, rank: int) -> bool:
        # The time counts from after the answer: by then the write had landed,
        # and its sender counts from before it was sent.
        now = self._clock.now()
        if self._observed is None or self._observed.version != found.version:
            self._observed = _Observed(found.version, now)
        seen_s = now - self._observed.at
        if not found.record.holder:
            return rank == 0 or seen_s >= self._times.duration_s
        patience = 1.0 + _PATIENCE_STEP * rank
        return seen_s >= found.record.duration_s * (patience + DRIFT)

    async def _take(self, found: lease_store.StoredLease | None) -> None:
        old = found.record if found else None
        record = lease_store.LeaseRecord(
            self._vm,
            self._start_number,
            old.fencing + 1 if old else 1,
            self._times.duration_s,
            self._store.next_write_id(),
            old.state if old else "",
        )
        version = found.version if found else platform_api.ABSENT_VERSION
        sent_at = self._clock.now()
        outcome = await self._store.put(record, version)
        self._observed = None
        if not isinstance(outcome, lease_store.Kept):
            return
        self._tenure = _Tenure(
            lease_store.StoredLease(record, outcome.version),
            sent_at + self._times.duration_s,
            self._clock.now() + self._wait_s(old),
        )
        self._context.metrics.event("lease_taken")
        logs.info("lease_taken", lease=self._name, fencing=record.fencing)

    def _wait_s(self, old: lease_store.LeaseRecord | None) -> float:
        """Returns how long orders of the holder before may still arrive."""
        # One that gave the lease up used it to the last moment; one whose
        # lease ran out stopped a margin before. Where receivers do not check
        # fencing numbers, one that gives it up and gets it back from another
        # that gave it up must not act twice within the duration.
        if old is None or old.holder:
            return self._times.order_s
        longest_s = max(self._times.margin_s, self._times.duration_s / 2)
        return self._times.order_s + longest_s


def make_lease(
    name: str,
    zone: str,
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
) -> HeldLease:
    """Creates a lease that daemons of a zone, or of all if "", seek."""
    duration_s = context.options.lease_s
    order_s = min(context.options.platform_timeout_s, duration_s / 3)
    times = LeaseTimes(duration_s, order_s)
    return HeldLease(name, zone, context, members, times)
