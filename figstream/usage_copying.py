"""Copies this daemon's usage deltas to a daemon in another availability zone.

`usage_handover` calls the sender at each exchange, before the deltas are
delivered to the sealing daemon. The other daemon stores them as
`usage_copies`.
"""

import itertools
from typing import Final

import grpc

from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import usage_codec
from figstream import usage_ledger
from figstream.rpc import usage_pb2
from figstream.rpc import usage_pb2_grpc

# A peer that does not answer within this time is skipped in this exchange.
CALL_TIMEOUT_S: Final = 1.0
_COPY_ROLE: Final = "usage-copy/"


class CopySender:
    """Replicates the ledger's outstanding deltas to one other daemon."""

    def __init__(
        self,
        ledger: usage_ledger.Ledger,
        members: membership_api.Members,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without a daemon that holds the copies."""
        self._ledger = ledger
        self._members = members
        self._metrics = metrics
        self._copy_holder: membership_api.Member | None = None
        self._copied: set[int] = set()

    @property
    def copied(self) -> frozenset[int]:
        """Returns the sequence numbers of deltas known to be copied."""
        return frozenset(self._copied)

    async def send(self) -> None:
        """Sends missing deltas and the list of copies to retain."""
        copy_holder = self._choose_copy_holder()
        if _run_of(copy_holder) != _run_of(self._copy_holder):
            await self._release_copy_holder()
            self._copy_holder = copy_holder
        outstanding = {
            delta.delta_id.sequence: delta for delta in self._ledger.outstanding
        }
        if copy_holder is None or set(outstanding) == self._copied:
            return
        fresh = [
            delta
            for sequence, delta in outstanding.items()
            if sequence not in self._copied
        ]
        request = usage_pb2.KeepCopiesRequest(
            run=usage_codec.encode_run(self._ledger.run),
            deltas=map(usage_codec.encode_delta, fresh),
            kept=outstanding,
        )
        answer = await self._keep_copies(copy_holder, request)
        self._copied = set(answer.kept) if answer else set()

    async def _release_copy_holder(self) -> None:
        if self._copy_holder and self._copied:
            request = usage_pb2.KeepCopiesRequest(
                run=usage_codec.encode_run(self._ledger.run)
            )
            await self._keep_copies(self._copy_holder, request)
        self._copied = set()

    async def _keep_copies(
        self,
        copy_holder: membership_api.Member,
        request: usage_pb2.KeepCopiesRequest,
    ) -> usage_pb2.KeepCopiesAnswer | None:
        stub = usage_pb2_grpc.UsageHandoverStub(
            self._members.channel(copy_holder)
        )
        try:
            answer: usage_pb2.KeepCopiesAnswer = await stub.KeepCopies(
                request,
                timeout=CALL_TIMEOUT_S,
                compression=grpc.Compression.Gzip,
            )
        except grpc.aio.AioRpcError:
            self._metrics.event("usage_copy_failed")
            return None
        return answer

    def _choose_copy_holder(self) -> membership_api.Member | None:
        this = self._members.this()
        ranked = self._members.ranked(_COPY_ROLE + this.name)
        others = [item for item in ranked if item.name != this.name]
        elsewhere = (item for item in others if item.zone != this.zone)
        return next(itertools.chain(elsewhere, others), None)


def _run_of(member: membership_api.Member | None) -> tuple[str, int] | None:
    return (member.name, member.start_number) if member else None
