"""Exchanges heartbeats between one daemon and one neighbour.

A heartbeat carries the zone ticks, the hash of the member table, and only the
changes since the last heartbeat. If the hashes keep differing, either daemon
requests the buckets that differ, so that lost changes are repaired without
sending the whole table.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import Final
from typing import TypeVar

import anyio
import attrs

from figstream import clock as clock_lib
from figstream import member_codec
from figstream import member_table
from figstream import member_zones
from figstream import metrics as metrics_lib
from figstream import notices as notices_lib
from figstream.rpc import membership_pb2

# About 8 KB of entries.
MAX_ENTRIES_PER_HEARTBEAT: Final = 128
# At most 32 KB of notices.
MAX_NOTICES_PER_HEARTBEAT: Final = 32
# Limit per neighbour.
MAX_NOTICES_QUEUED: Final = 256
# Changes within this time are sent in one heartbeat.
BATCH_DELAY_S: Final = 0.1
# Changes in transit make the hashes differ for one or two heartbeats.
_MISMATCHES_BEFORE_REQUEST: Final = 3
# Limits how often complete buckets are sent.
_MIN_REQUEST_INTERVAL_S: Final = 5.0

_T = TypeVar("_T")

Write = Callable[[membership_pb2.Heartbeat], Awaitable[None]]


@attrs.define
class HeartbeatState:
    """The state that all heartbeat sessions of one daemon share.

    Attributes:
      table: the member table.
      ticks: the zone ticks.
      notices: the notices to publish and forward.
      clock: time source.
      metrics: instruments.
      heartbeat_s: seconds between heartbeats.
      received_at_by_run: time of the last heartbeat received directly from
        each run.
      last_received_at: time of the last heartbeat from any neighbour.
      buckets_requested_at: time at which differing buckets were last
        requested.
    """

    table: member_table.MemberTable
    ticks: member_zones.ZoneTicks
    notices: notices_lib.Notices
    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics
    heartbeat_s: float
    received_at_by_run: dict[int, float] = attrs.field(factory=dict)
    last_received_at: float = 0.0
    buckets_requested_at: float = float("-inf")


class HeartbeatSession:
    """The exchange of heartbeats with one neighbour on one stream."""

    def __init__(
        self, shared: HeartbeatState, *, joining: bool = False
    ) -> None:
        """Initializes the session and queues all recent notices.

        Args:
          shared: state shared by all sessions of the daemon.
          joining: whether the first heartbeat requests the whole table.
        """
        self._shared = shared
        self._sender_sent = False
        self._request_buckets = joining
        self._mismatches = 0
        self._queued_entries: dict[int, None] = {}
        self._queued_statuses: dict[int, None] = {}
        self._queued_notices = dict.fromkeys(shared.notices.kept)
        self._queue_event = anyio.Event()
        self._peer_zone = ""
        self.peer_run: int | None = None
        self.received_at = shared.clock.now()

    @property
    def has_queued(self) -> bool:
        """Returns whether entries, statuses or notices are queued."""
        return bool(
            self._queued_entries
            or self._queued_statuses
            or self._queued_notices
        )

    def add_status(self, run: int) -> None:
        """Queues the changed status of a run for the neighbour."""
        self._queued_statuses[run] = None
        self._queue_event.set()

    def add_entry(self, run: int) -> None:
        """Queues a complete entry for the neighbour."""
        self._queued_entries[run] = None
        self._queue_event.set()

    def add_notice(self, notice: notices_lib.Notice) -> None:
        """Queues a notice for the neighbour; discards another one if full."""
        if notice.zone and notice.zone != self._peer_zone:
            return
        self._queued_notices[notice] = None
        if len(self._queued_notices) > MAX_NOTICES_QUEUED:
            expendable = notices_lib.most_expendable(self._queued_notices)
            del self._queued_notices[expendable]
        self._queue_event.set()

    async def send(self, write: Write) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self._queue_event = anyio.Event()
            await write(self.next_message())
            if not self._queued_entries:
                with anyio.move_on_after(self._shared.heartbeat_s) as idle:
                    await self._queue_event.wait()
                if idle.cancelled_caught:
                    continue
            await anyio.sleep(BATCH_DELAY_S)

    def next_message(self) -> membership_pb2.Heartbeat:
        """Returns the next heartbeat and removes its content from queues."""
        shared = self._shared
        now = shared.clock.now()
        message = membership_pb2.Heartbeat(
            zones=shared.ticks.zones,
            zone_ticks=shared.ticks.ticks,
            table_hash=shared.table.hash,
            entries=self._dequeue_entries(),
            statuses=self._dequeue_statuses(),
            notices=[
                member_codec.notice_to_message(item, now)
                for item in _dequeue(
                    self._queued_notices, MAX_NOTICES_PER_HEARTBEAT
                )
                if item.expires_at > now
            ],
        )
        if not self._sender_sent:
            self._sender_sent = True
            own = shared.table.find(shared.table.own_run)
            if own:
                message.sender.CopyFrom(member_codec.entry_to_message(own))
        if self._request_buckets:
            self._request_buckets = False
            shared.buckets_requested_at = now
            message.bucket_hashes.extend(shared.table.bucket_hashes)
        return message

    def receive(self, message: membership_pb2.Heartbeat) -> None:
        """Applies a heartbeat received from the neighbour."""
        shared = self._shared
        now = shared.clock.now()
        shared.ticks.merge(message.zones, message.zone_ticks, now)
        if message.HasField("sender"):
            self._receive_sender(message.sender, now)
        for entry in message.entries:
            self._merge(entry, now)
        for status in message.statuses:
            self._merge_status(status, now)
        for notice in message.notices:
            shared.notices.receive(
                member_codec.notice_from_message(notice, now)
            )
        shared.last_received_at = self.received_at = now
        if self.peer_run is not None:
            shared.received_at_by_run[self.peer_run] = now
        for run in shared.table.runs_in_differing_buckets(
            message.bucket_hashes
        ):
            self.add_entry(run)
        self._compare_hashes(message, now)

    def _receive_sender(self, sender: membership_pb2.Entry, now: float) -> None:
        self.peer_run = member_table.run_of(sender.name, sender.start_number)
        self._peer_zone = sender.zone
        self._merge(sender, now)

    def _merge(self, message: membership_pb2.Entry, now: float) -> None:
        table = self._shared.table
        member = member_codec.member_from_message(message)
        status = member_codec.status_from_message(message.status)
        result = table.merge(member, status, now)
        if result is member_table.MergeResult.OUTDATED:
            latest = table.find_by_name(member.name)
            if latest:
                self.add_entry(latest.run)
        if result is member_table.MergeResult.CHANGED:
            self._discard_queued(
                member_table.run_of(member.name, member.start_number)
            )

    def _merge_status(self, message: membership_pb2.Status, now: float) -> None:
        status = member_codec.status_from_message(message)
        result = self._shared.table.merge_status(status, now)
        if result is member_table.MergeResult.OUTDATED:
            self.add_status(status.run)
        if result is member_table.MergeResult.CHANGED:
            self._discard_queued(status.run)

    def _discard_queued(self, run: int) -> None:
        # The neighbour already knows the change that it has just sent. A
        # change of this daemon's own run is the answer to a suspicion and
        # must still be sent back.
        if run != self._shared.table.own_run:
            self._queued_statuses.pop(run, None)
            self._queued_entries.pop(run, None)

    def _compare_hashes(
        self, message: membership_pb2.Heartbeat, now: float
    ) -> None:
        shared = self._shared
        differs = message.table_hash != shared.table.hash
        queues_empty = not (self._queued_statuses or self._queued_entries)
        self._mismatches = (
            self._mismatches + 1 if differs and queues_empty else 0
        )
        recently = now - shared.buckets_requested_at < _MIN_REQUEST_INTERVAL_S
        if self._mismatches >= _MISMATCHES_BEFORE_REQUEST and not recently:
            self._mismatches = 0
            self._request_buckets = True
            shared.buckets_requested_at = now
            shared.metrics.event("member_table_asked")

    def _dequeue_entries(self) -> list[membership_pb2.Entry]:
        table = self._shared.table
        entries = map(
            table.find,
            _dequeue(self._queued_entries, MAX_ENTRIES_PER_HEARTBEAT),
        )
        return [member_codec.entry_to_message(item) for item in entries if item]

    def _dequeue_statuses(self) -> list[membership_pb2.Status]:
        table = self._shared.table
        entries = map(
            table.find,
            _dequeue(self._queued_statuses, MAX_ENTRIES_PER_HEARTBEAT),
        )
        return [
            member_codec.status_to_message(item.status)
            for item in entries
            if item
        ]


def _dequeue(queue: dict[_T, None], count: int) -> Iterable[_T]:
    taken = list(itertools.islice(queue, count))
    for item in taken:
        del queue[item]
    return taken
