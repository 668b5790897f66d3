"""Stores the state of every known daemon, as one daemon sees it.

Each run of a daemon numbers the versions of its own status. A neighbour that
receives no heartbeats marks the latest known version as suspected, and the
suspicion propagates; the suspected daemon answers with a higher version. A
member becomes dead only if the suspicion stays unanswered for the suspicion
timeout. The table does no I/O, and callers pass the current time.
"""

from collections.abc import Callable
from collections.abc import Sequence
import enum
import functools
import math
import operator
from typing import Final

import attrs
import xxhash

from figstream import membership_api

# The hashes of the buckets are compared separately between daemons.
BUCKETS: Final = 16
# Five times the planned fleet.
MAX_ENTRIES: Final = 2048
# Within this time a member's death has propagated to all daemons.
_DEAD_RETENTION_S: Final = 120.0
_MASK_64: Final = 0xFFFFFFFFFFFFFFFF


class MemberState(enum.Enum):
    """The state of a member in the table."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


class MergeResult(enum.Enum):
    """The effect of merging a received status or entry."""

    CHANGED = "changed"
    KNOWN = "known"
    OUTDATED = "outdated"
    UNKNOWN_RUN = "unknown_run"


@attrs.frozen
class Status:
    """The mutable part of a member's state.

    Attributes:
      run: identifies the run of the daemon.
      version: number of the status within the run.
      generation: generation of the daemon's active configuration.
      leaving: whether the daemon is shutting down.
      suspected: whether a neighbour stopped receiving the daemon's
        heartbeats.
      plan_version: version of the plan of software versions that the daemon
        uses, 0 if it has not told.
    """

    run: int
    version: int
    generation: int = 0
    leaving: bool = False
    suspected: bool = False
    plan_version: int = 0


@attrs.define
class Entry:
    """One run of a daemon.

    Attributes:
      member: the daemon as other modules see it.
      run: identifies the run.
      version: number of the latest known status.
      state: latest known state.
      since: clock time in seconds at which the state was entered.
      suspected_at: clock time at which the member was first suspected, None
        while it is alive. A member that was alive again for less than the
        suspicion timeout counts as suspected all the while.
      cleared: value of `suspected_at` before the member was alive again.
      cleared_at: clock time at which the member was alive again.
    """

    member: membership_api.Member
    run: int
    version: int
    state: MemberState
    since: float
    suspected_at: float | None = None
    cleared: float | None = None
    cleared_at: float = -math.inf

    @property
    def status(self) -> Status:
        """Returns the mutable part of the entry."""
        return Status(
            self.run,
            self.version,
            self.member.generation,
            self.member.leaving,
            self.state is not MemberState.ALIVE,
            self.member.plan_version,
        )

    @property
    def hash(self) -> int:
        """Returns a 64-bit hash of run, version and suspicion."""
        suspected = self.state is not MemberState.ALIVE
        return hash_of_status(self.run, self.version, suspected)


def hash_of_status(run: int, version: int, suspected: bool) -> int:
    """Returns a 64-bit hash of run, version and suspicion."""
    number = (run ^ (version << 1 | suspected) * 0x9E3779B97F4A7C15) & _MASK_64
    return xxhash.xxh3_64_intdigest(number.to_bytes(8, "little"))


def run_of(name: str, start_number: int) -> int:
    """Returns the 64-bit id of one run of a daemon."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{start_number}".encode())


# Called with the id of a run and whether the run is new to the table.
Listener = Callable[[int, bool], None]


class MemberTable:
    """All members known to one daemon, including itself."""

    def __init__(
        self, this: membership_api.Member, suspicion_s: float, now: float
    ) -> None:
        """Initializes a table that contains only this daemon.

        Args:
          this: this daemon.
          suspicion_s: seconds within which a suspected daemon must answer.
          now: clock time in seconds.
        """
        self._suspicion_s = suspicion_s
        self._run = run_of(this.name, this.start_number)
        own = Entry(this, self._run, 1, MemberState.ALIVE, now)
        self._entries = {self._run: own}
        self._run_by_name = {this.name: self._run}
        self._bucket_hashes: list[int] | None = None
        self._revision = 0
        self._listeners: list[Listener] = []

    @property
    def own_run(self) -> int:
        """Returns the id of this daemon's run."""
        return self._run

    @property
    def entries(self) -> Sequence[Entry]:
        """Returns every entry, including those of dead members."""
        return list(self._entries.values())

    @property
    def bucket_hashes(self) -> list[int]:
        """Returns one hash per bucket over the entries that are not dead."""
        if self._bucket_hashes is None:
            self._bucket_hashes = [0] * BUCKETS
            for entry in self._entries.values():
                if entry.state is not MemberState.DEAD:
                    self._bucket_hashes[entry.run % BUCKETS] ^= entry.hash
        return self._bucket_hashes

    @property
    def hash(self) -> int:
        """Returns the hash of all entries that are not dead."""
        return functools.reduce(operator.xor, self.bucket_hashes)

    @property
    def revision(self) -> int:
        """Returns a number that increases with every change of the table."""
        return self._revision

    def on_change(self, listener: Listener) -> None:
        """Registers a listener for each change that is sent to neighbours."""
        self._listeners.append(listener)

    def find(self, run: int) -> Entry | None:
        """Returns the entry of a run, or None."""
        return self._entries.get(run)

    def find_by_name(self, name: str) -> Entry | None:
        """Returns the entry of a daemon's latest run, or None."""
        run = self._run_by_name.get(name)
        return None if run is None else self._entries.get(run)

    def runs_in_differing_buckets(self, hashes: Sequence[int]) -> list[int]:
        """Returns the runs of members that are not dead in differing buckets.

        Args:
          hashes: the bucket hashes of a neighbour.
        """
        own = self.bucket_hashes
        differing = {
            number
            for number, value in enumerate(hashes[:BUCKETS])
            if own[number] != value
        }
        return [
            entry.run
            for entry in self._entries.values()
            if entry.run % BUCKETS in differing
            and entry.state is not MemberState.DEAD
        ]

    def update_own(
        self, *, generation: int, leaving: bool, plan_version: int = 0
    ) -> None:
        """Records a change of this daemon's own status."""
        entry = self._entries[self._run]
        changed = attrs.evolve(
            entry.member,
            generation=generation,
            leaving=leaving,
            plan_version=plan_version,
        )
        if changed != entry.member:
            entry.member = changed
            entry.version += 1
            self._notify_listeners(self._run)

    def merge(
        self, member: membership_api.Member, status: Status, now: float
    ) -> MergeResult:
        """Merges a complete entry received from a peer."""
        run = run_of(member.name, member.start_number)
        if run in self._entries:
            return self.merge_status(attrs.evolve(status, run=run), now)
        old = self.find_by_name(member.name)
        if old and old.member.start_number > member.start_number:
            return MergeResult.OUTDATED
        if old and old.run == self._run:
            return MergeResult.KNOWN
        if old is None and len(self._entries) >= MAX_ENTRIES:
            return MergeResult.KNOWN
        if old:
            del self._entries[old.run]
        state = _state_from_status(status)
        changed = _with_status(member, status)
        entry = Entry(changed, run, status.version, state, now)
        if state is not MemberState.ALIVE:
            entry.suspected_at = now
        self._entries[run] = entry
        self._run_by_name[member.name] = run
        self._notify_listeners(run, new=True)
        return MergeResult.CHANGED

    def merge_status(self, status: Status, now: float) -> MergeResult:
        """Merges a status received from a peer."""
        entry = self._entries.get(status.run)
        if entry is None:
            return MergeResult.UNKNOWN_RUN
        if status.run == self._run:
            return self._merge_own_status(entry, status)
        if status.version > entry.version:
            entry.version = status.version
            entry.member = _with_status(entry.member, status)
            self._set_state(entry, _state_from_status(status), now)
            return MergeResult.CHANGED
        if status.version == entry.version:
            status = _with_one_plan(entry, status)
        if status == entry.status:
            return MergeResult.KNOWN
        if status.version == entry.version and status.suspected:
            self._set_state(entry, MemberState.SUSPECTED, now)
            return MergeResult.CHANGED
        return MergeResult.OUTDATED

    def suspect(self, run: int, now: float) -> bool:
        """Marks a member as suspected; returns whether its state changed."""
        entry = self._entries.get(run)
        if entry is None or entry.state is not MemberState.ALIVE:
            return False
        if run == self._run:
            return False
        self._set_state(entry, MemberState.SUSPECTED, now)
        return True

    def expire(
        self, now: float, is_deferred: Callable[[Entry], bool]
    ) -> Sequence[Entry]:
        """Marks unanswering suspects as dead and evicts old dead entries.

        Args:
          now: clock time in seconds.
          is_deferred: returns whether a suspected member must not become dead
            yet, because no path leads to the member.

        Returns:
          The members that became dead.
        """
        died = [
            entry
            for entry in self._entries.values()
            if entry.state is MemberState.SUSPECTED
            and now - entry.since >= self._suspicion_s
            and not is_deferred(entry)
        ]
        for entry in died:
            entry.state = MemberState.DEAD
            entry.since = now
        evicted = [
            entry
            for entry in self._entries.values()
            if entry.state is MemberState.DEAD
            and now - entry.since >= _DEAD_RETENTION_S
        ]
        for entry in evicted:
            self._evict(entry)
        if died or evicted:
            self._increment_revision()
        return died

    def postpone(self, seconds: float) -> None:
        """Delays every timeout by the time for which this daemon was paused."""
        for entry in self._entries.values():
            entry.since += seconds
            if entry.suspected_at is not None:
                entry.suspected_at += seconds
            if entry.cleared is not None:
                entry.cleared += seconds
                entry.cleared_at += seconds

    def _merge_own_status(self, own: Entry, status: Status) -> MergeResult:
        if status.version > own.version or (
            status.version == own.version and status.suspected
        ):
            own.version = status.version + 1
            self._notify_listeners(own.run)
            return MergeResult.CHANGED
        if status.version == own.version:
            return MergeResult.KNOWN
        return MergeResult.OUTDATED

    def _set_state(self, entry: Entry, state: MemberState, now: float) -> None:
        if state is MemberState.ALIVE and entry.suspected_at is not None:
            entry.cleared, entry.cleared_at = entry.suspected_at, now
            entry.suspected_at = None
        elif state is not MemberState.ALIVE and entry.suspected_at is None:
            briefly = now - entry.cleared_at < self._suspicion_s
            entry.suspected_at = entry.cleared if briefly else now
        entry.state = state
        entry.since = now
        self._notify_listeners(entry.run)

    def _evict(self, entry: Entry) -> None:
        del self._entries[entry.run]
        if self._run_by_name.get(entry.member.name) == entry.run:
            del self._run_by_name[entry.member.name]

    def _notify_listeners(self, run: int, *, new: bool = False) -> None:
        self._increment_revision()
        for listener in self._listeners:
            listener(run, new)

    def _increment_revision(self) -> None:
        self._bucket_hashes = None
        self._revision += 1


def _with_status(
    member: membership_api.Member, status: Status
) -> membership_api.Member:
    return attrs.evolve(
        member,
        generation=status.generation,
        leaving=status.leaving,
        plan_version=status.plan_version,
    )


def _with_one_plan(entry: Entry, status: Status) -> Status:
    """Gives entry and status of the same version the plan that one of them has.

    Builds that do not know the field pass a status on without it.
    """
    plan_version = max(entry.member.plan_version, status.plan_version)
    entry.member = attrs.evolve(entry.member, plan_version=plan_version)
    return attrs.evolve(status, plan_version=plan_version)


def _state_from_status(status: Status) -> MemberState:
    if status.suspected:
        return MemberState.SUSPECTED
    return MemberState.ALIVE
