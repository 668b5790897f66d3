"""Acquires and renews a lease that one daemon at a time holds.

The lease guards actions that only one daemon may perform, such as ordering
servers. It is stored as an object of the platform and is acquired and renewed
by conditional writes; each new holder gets a higher fencing number.

The holder counts the lease duration from before it sent the renewing write. A
daemon that takes over must have observed the object unchanged for the whole
duration on its own clock. It then waits for the timeout of an order, so that
no order of the previous holder can still arrive. The clock is CLOCK_BOOTTIME,
which continues while a VM is suspended.

A restore of the store from an older copy ends every lease. A daemon that sees
the new era stops using its lease at once. A holder that does not see it, since
it is partitioned from the store, stops when its lease expires, which the next
holder awaits. Fencing numbers rise across a restore because they are derived
from versions, which bear the era.
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
from figstream import store_era

# Tolerated clock drift between two VMs, as a fraction of the duration.
MAX_CLOCK_DRIFT_RATIO: Final = 0.05
# Number of renewals per duration; two of them may be lost.
_RENEWALS_PER_DURATION: Final = 3
# Number of daemons that poll for a free lease; several may be leaving,
# paused or refused by the platform at the same time.
_CANDIDATE_COUNT: Final = 4
# Number of polls by each candidate per renewal interval.
_POLLS_PER_RENEWAL: Final = 2
# Fraction of the duration by which each candidate waits longer than the
# candidate ranked before it.
_WAIT_RATIO_STEP: Final = 0.1
# Number of attempts to write a resignation before the lease is left to expire.
_RESIGN_ATTEMPTS: Final = 3
_NEVER: Final = float("-inf")


@attrs.frozen
class LeaseTimes:
    """Durations of a lease, in seconds.

    Attributes:
      duration_s: duration of the lease after a renewal.
      order_timeout_s: timeout of an order that is sent under the lease.
    """

    duration_s: float
    order_timeout_s: float

    @property
    def margin_s(self) -> float:
        """Returns the time before expiry during which the lease is not used."""
        return self.order_timeout_s + MAX_CLOCK_DRIFT_RATIO * self.duration_s

    @property
    def interval_s(self) -> float:
        """Returns the time between two renewals."""
        return self.duration_s / _RENEWALS_PER_DURATION


@attrs.define
class _Holding:
    """State of the lease while this daemon holds it.

    Attributes:
      stored: last known stored record.
      expires_at: time at which the lease expires unless it is renewed.
      usable_from: time at which the wait after the takeover ends.
      era: era of the store in which the lease was acquired.
      sent_at: send time of each write whose outcome is unknown, by write id.
    """

    stored: lease_store.StoredLease
    expires_at: float
    usable_from: float
    era: int
    sent_at: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class _ObservedVersion:
    """Version of the stored lease and the time it was first observed."""

    version: int
    at: float


class HeldLease:
    """Lease that this daemon holds or seeks; satisfies `Lease` and `Role`."""

    def __init__(
        self,
        name: str,
        zone: str,
        context: daemon_context.DaemonContext,
        members: membership_api.Members,
        times: LeaseTimes,
    ) -> None:
        """Initializes a lease that is not held yet.

        Args:
          name: name of the lease.
          zone: zone whose live daemons seek the lease, "" for all zones.
          context: context of this daemon.
          members: live daemons, which are ranked as candidates.
          times: durations of the lease.
        """
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
        self._era = context.platform.era
        self._random = random.Random(context.start_number)
        self._lock = anyio.Lock()
        self._holding: _Holding | None = None
        self._observed: _ObservedVersion | None = None
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
        """Returns the state recorded with the lease, "" if it is not held."""
        return self._holding.stored.record.state if self._holding else ""

    def fencing(self) -> int | None:
        """Returns the fencing number while the lease is certainly held."""
        holding = self._holding
        now = self._clock.now()
        if holding is None or self._resigned or now < holding.usable_from:
            return None
        if holding.era != self._era.current:
            return None
        if now >= holding.expires_at - self._times.margin_s:
            return None
        return holding.stored.record.fencing

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled."""
        while True:
            await self.step()
            jitter = self._random.uniform(0.8, 1.0)
            interval_s = self._times.interval_s
            if self._holding is None and self._rank() < _CANDIDATE_COUNT:
                interval_s /= _POLLS_PER_RENEWAL
            await self._clock.sleep(interval_s * jitter)

    async def step(self) -> None:
        """Renews the lease if it is held, else acquires it if it is free."""
        if self._resigned:
            return
        async with self._lock:
            self._drop_if_restored()
            if self._holding:
                await self._write(self._holding, self.state)
                self._drop_if_restored()
            else:
                await self._acquire_if_free()

    async def record(self, state: str) -> bool:
        """Records a state with the lease and renews the lease.

        Returns:
          True if the state is certainly stored and the lease is certainly
          held. If False, the state may have been stored nevertheless; see
          `state`.
        """
        async with self._lock:
            if self._holding is None or self.fencing() is None:
                return False
            renewed = await self._write(self._holding, state)
        return renewed and self.fencing() is not None

    async def hand_over(self) -> None:
        """Resigns the lease, so that others need not await its expiry."""
        self._resigned = True
        async with self._lock:
            for _ in range(_RESIGN_ATTEMPTS):
                self._drop_if_restored()
                if self._holding is None:
                    return
                if await self._write(self._holding, self.state, holder=""):
                    self._holding = None

    async def _write(
        self, holding: _Holding, state: str, *, holder: str | None = None
    ) -> bool:
        """Rewrites the lease; returns whether the write is surely stored."""
        write_id = self._store.next_write_id()
        record = attrs.evolve(
            holding.stored.record, state=state, write_id=write_id
        )
        if holder is not None:
            record = attrs.evolve(record, holder=holder)
        sent_at = holding.sent_at[write_id] = self._clock.now()
        outcome = await self._store.put(record, holding.stored.version)
        match outcome:
            case lease_store.Stored():
                self._extend(
                    holding,
                    lease_store.StoredLease(record, outcome.version),
                    sent_at,
                )
                return True
            case lease_store.Replaced():
                self._handle_conflict(holding, outcome.current)
            case lease_store.NotWritten():
                del holding.sent_at[write_id]
                self._context.metrics.event("lease_not_renewed")
            case lease_store.Undecided():
                self._context.metrics.event("lease_write_undecided")
        return False

    def _drop_if_restored(self) -> None:
        """Drops a lease that was acquired before the store was restored."""
        if self._holding is None or self._holding.era == self._era.current:
            return
        logs.warning(
            "lease_lost",
            lease=self._name,
            reason="store_restored",
            fencing=self._holding.stored.record.fencing,
            era=self._era.current,
        )
        self._context.metrics.event("lease_lost_in_restore")
        self._holding = None

    def _extend(
        self,
        holding: _Holding,
        stored: lease_store.StoredLease,
        sent_at: float,
    ) -> None:
        # All other writes of this daemon expect an older version and can no
        # longer take effect.
        holding.sent_at.clear()
        holding.stored = stored
        expires_at = sent_at + self._times.duration_s
        holding.expires_at = max(holding.expires_at, expires_at)

    def _handle_conflict(
        self, holding: _Holding, current: lease_store.StoredLease | None
    ) -> None:
        """Handles a version conflict.

        If the stored write is one of this daemon's own whose outcome was
        unknown, the lease is extended from its send time. Otherwise another
        daemon has taken over and the lease is lost.
        """
        if current and current.record.write_id in holding.sent_at:
            sent_at = holding.sent_at[current.record.write_id]
            self._extend(holding, current, sent_at)
            return
        self._holding = None
        self._context.metrics.event("lease_lost")
        logs.warning("lease_lost", lease=self._name)

    async def _acquire_if_free(self) -> None:
        rank = self._rank()
        if rank >= _CANDIDATE_COUNT:
            self._observed = None
            return
        # A stale answer can only delay a takeover, because the write of a
        # takeover is conditional on the version.
        current = await self._store.read(stale=True)
        if isinstance(current, platform_api.Unavailable):
            # The holder may be unable to reach the platform too. Starting the
            # observation again gives it time to renew after the outage.
            self._observed = None
            return
        if isinstance(current, platform_api.Absent):
            if rank == 0:
                await self._acquire(None)
            return
        if self._is_free(current, rank):
            await self._acquire(current)

    def _rank(self) -> int:
        ranked = self._members.ranked(f"lease/{self._name}", self._zone)
        names = [item.name for item in ranked]
        return names.index(self._vm) if self._vm in names else len(names)

    def _is_free(self, current: lease_store.StoredLease, rank: int) -> bool:
        # The observation starts after the answer, when the write had already
        # taken effect. The holder counts from before it sent the write, so
        # the observation cannot end before the lease does.
        now = self._clock.now()
        if self._observed is None or self._observed.version != current.version:
            self._observed = _ObservedVersion(current.version, now)
        unchanged_s = now - self._observed.at
        restored = current.record.era != self._era.current
        if restored or not current.record.holder:
            return rank == 0 or unchanged_s >= self._times.duration_s
        wait_ratio = 1.0 + _WAIT_RATIO_STEP * rank
        # A lease that can't be read has no duration.
        duration_s = current.record.duration_s or self._times.duration_s
        return unchanged_s >= duration_s * (wait_ratio + MAX_CLOCK_DRIFT_RATIO)

    async def _acquire(self, current: lease_store.StoredLease | None) -> None:
        previous = current.record if current else None
        era = self._era.current
        record = lease_store.LeaseRecord(
            self._vm,
            self._start_number,
            _next_fencing(current, era),
            self._times.duration_s,
            self._store.next_write_id(),
            previous.state if previous else "",
            era,
        )
        version = current.version if current else platform_api.ABSENT_VERSION
        sent_at = self._clock.now()
        outcome = await self._store.put(record, version)
        self._observed = None
        if not isinstance(outcome, lease_store.Stored):
            return
        if era != self._era.current:
            return
        self._holding = _Holding(
            lease_store.StoredLease(record, outcome.version),
            sent_at + self._times.duration_s,
            self._usable_from(previous, era),
            era,
        )
        self._context.metrics.event("lease_taken")
        logs.info(
            "lease_taken",
            lease=self._name,
            fencing=record.fencing,
            era=era,
            usable_in_s=round(self._holding.usable_from - self._clock.now(), 3),
        )

    def _usable_from(
        self, previous: lease_store.LeaseRecord | None, era: int
    ) -> float:
        """Returns when no order of an earlier holder can still arrive."""
        usable_from = self._clock.now() + self._takeover_wait_s(previous)
        if not era or (previous is not None and previous.era == era):
            return usable_from
        # A holder that does not see the restore may use its lease until it
        # expires, counted from before the restore.
        drift_ratio = 1.0 + MAX_CLOCK_DRIFT_RATIO
        expiry_s = self._times.duration_s * drift_ratio
        latest_order_s = expiry_s + self._times.order_timeout_s
        return max(usable_from, self._era.seen_at + latest_order_s)

    def _takeover_wait_s(
        self, previous: lease_store.LeaseRecord | None
    ) -> float:
        """Returns how long orders of the previous holder may still arrive."""
        # A holder whose lease expired stopped sending a margin before the
        # expiry, but a holder that resigned used the lease until that moment.
        # Where receivers do not check fencing numbers, a daemon that resigns
        # and gets the lease back from another daemon that resigned must not
        # act twice within the duration.
        if previous is None or previous.holder:
            return self._times.order_timeout_s
        longest_s = max(self._times.margin_s, self._times.duration_s / 2)
        return self._times.order_timeout_s + longest_s


def _next_fencing(current: lease_store.StoredLease | None, era: int) -> int:
    """Returns a fencing number above all that were given out before.

    Versions rise with each write and across eras, so that a number derived
    from one is unique also if a restore or a late write of an earlier era
    brings back an older record.
    """
    if current is None:
        return store_era.version_of(era, 0) + 1
    following = current.record.fencing + 1
    return max(following, current.version + 1) if era else following


def make_lease(
    name: str,
    zone: str,
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
) -> HeldLease:
    """Creates a lease for the daemons of a zone, or of all zones if ""."""
    duration_s = context.options.lease_s
    order_timeout_s = min(context.options.platform_timeout_s, duration_s / 3)
    times = LeaseTimes(duration_s, order_timeout_s)
    return HeldLease(name, zone, context, members, times)
