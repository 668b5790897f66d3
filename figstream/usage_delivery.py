"""Delivers usage deltas to the daemon that seals windows.

A delta is sent once to each sealing daemon, and again only if a new epoch
shows that the sealing daemon lost its draft. Copies stored here of deltas
whose daemons are no longer live are delivered as well.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import Final

import grpc

from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import usage_codec
from figstream import usage_copies
from figstream import usage_copying
from figstream import usage_delta
from figstream import usage_ledger
from figstream.rpc import usage_pb2
from figstream.rpc import usage_pb2_grpc

# The first daemons in the ranking for this role try to acquire the lease.
_SEALING_ROLE: Final = "lease/usage"
# Daemons probed in one exchange; the lease holder is among the first.
_PROBES_PER_EXCHANGE: Final = 4
# A message with this many rows has a size of about four megabytes.
_MAX_ROWS_PER_CALL: Final = 50_000

DeliveryHandler = Callable[[usage_pb2.DeliverRequest], usage_pb2.DeliverAnswer]


class DeltaDelivery:
    """Sends deltas to the sealing daemon until sealed windows hold them."""

    def __init__(
        self,
        ledger: usage_ledger.Ledger,
        copies: usage_copies.UsageCopies,
        members: membership_api.Members,
        metrics: metrics_lib.Metrics,
        answer_locally: DeliveryHandler,
    ) -> None:
        """Initializes without a known sealing daemon.

        Args:
          ledger: deltas of this daemon.
          copies: copies of other daemons' deltas.
          members: live daemons.
          metrics: instruments.
          answer_locally: answers a request with the sealing role of this
            daemon.
        """
        self._ledger = ledger
        self._copies = copies
        self._members = members
        self._metrics = metrics
        self._answer_locally = answer_locally
        self._sealing_daemon = ""
        self._epoch = ""
        self._held_ids: set[usage_delta.DeltaId] = set()
        self._next_probe = 0

    def set_sealing_daemon(self, name: str) -> None:
        """Stores the daemon that has announced that it seals."""
        self._sealing_daemon = name

    async def deliver(self) -> None:
        """Sends missing deltas and removes those reported as counted."""
        attempted: set[usage_delta.DeltaId] = set()
        while self._ledger.outstanding or self._copies.runs:
            batch = self._batch(attempted)
            if attempted and not batch:
                return
            ids = {usage_codec.decode_id(delta) for delta in batch}
            attempted |= ids
            answer = await self._send(self._request(batch))
            if answer is None:
                self._metrics.event("usage_no_sealing_daemon")
                return
            if answer.epoch != self._epoch:
                self._epoch = answer.epoch
                self._held_ids.clear()
                attempted = ids
            self._apply_answer(answer)
            if not batch and not self._batch(attempted):
                return

    def _request(
        self, batch: Sequence[usage_pb2.Delta]
    ) -> usage_pb2.DeliverRequest:
        runs = dict.fromkeys((self._ledger.run, *self._copies.runs))
        return usage_pb2.DeliverRequest(
            deltas=batch, runs=map(usage_codec.encode_run, runs)
        )

    def _batch(
        self, attempted: set[usage_delta.DeltaId]
    ) -> Sequence[usage_pb2.Delta]:
        done = self._held_ids | attempted
        own = (
            usage_codec.encode_delta(delta)
            for delta in self._ledger.outstanding
            if delta.delta_id not in done
        )
        orphans = (
            delta
            for delta in self._copies.orphans(self._live_runs())
            if usage_codec.decode_id(delta) not in done
        )
        return _limit_rows(itertools.chain(own, orphans))

    def _live_runs(self) -> frozenset[usage_delta.RunId]:
        return frozenset(
            usage_delta.RunId(item.name, item.start_number)
            for item in self._members.live()
        )

    async def _send(
        self, request: usage_pb2.DeliverRequest
    ) -> usage_pb2.DeliverAnswer | None:
        answer = self._answer_locally(request)
        if answer.epoch:
            return answer
        sealing_daemon = await self._find_sealing_daemon()
        if sealing_daemon is None:
            return None
        remote = await self._call(sealing_daemon, request)
        if remote is None or not remote.epoch:
            self._sealing_daemon = ""
            return None
        return remote

    async def _find_sealing_daemon(self) -> membership_api.Member | None:
        this = self._members.this().name
        others = [
            item
            for item in self._members.ranked(_SEALING_ROLE)
            if item.name != this
        ]
        known = [item for item in others if item.name == self._sealing_daemon]
        if known:
            return known[0]
        from_here = itertools.islice(
            itertools.cycle(others), self._next_probe, None
        )
        for member in itertools.islice(
            from_here, min(_PROBES_PER_EXCHANGE, len(others))
        ):
            answer = await self._call(member, usage_pb2.DeliverRequest())
            if answer and answer.epoch:
                self._sealing_daemon = member.name
                self._next_probe = 0
                return member
        self._next_probe = (self._next_probe + _PROBES_PER_EXCHANGE) % max(
            len(others), 1
        )
        return None

    async def _call(
        self,
        member: membership_api.Member,
        request: usage_pb2.DeliverRequest,
    ) -> usage_pb2.DeliverAnswer | None:
        stub = usage_pb2_grpc.UsageHandoverStub(self._members.channel(member))
        try:
            answer: usage_pb2.DeliverAnswer = await stub.Deliver(
                request,
                timeout=usage_copying.CALL_TIMEOUT_S,
                compression=grpc.Compression.Gzip,
            )
        except grpc.aio.AioRpcError:
            return None
        return answer

    def _apply_answer(self, answer: usage_pb2.DeliverAnswer) -> None:
        self._held_ids.update(map(usage_codec.decode_id, answer.held))
        for counted in answer.counted:
            run = usage_codec.decode_run(counted.run)
            spans = usage_codec.decode_spans(counted)
            if run == self._ledger.run:
                self._ledger.acknowledge(spans, answer.floor_ms)
            self._copies.acknowledge(run, spans)
        self._copies.expire(answer.floor_ms)
        present = {delta.delta_id for delta in self._ledger.outstanding}
        kept = set(self._copies.runs)
        self._held_ids = {
            item
            for item in self._held_ids
            if item in present or item.run in kept
        }


def _limit_rows(
    deltas: Iterable[usage_pb2.Delta],
) -> Sequence[usage_pb2.Delta]:
    """Returns the first deltas, up to the row limit of one call."""
    rows = 0
    taken: list[usage_pb2.Delta] = []
    for delta in deltas:
        rows += len(delta.rows)
        if taken and rows > _MAX_ROWS_PER_CALL:
            break
        taken.append(delta)
    return taken
