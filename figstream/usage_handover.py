"""Transfers usage deltas to the sealing daemon, with a copy in another zone.

The daemon that counted a delta and a second daemon in another availability
zone store the delta until a sealed window is known to hold it. If the first
daemon is no longer live, the second one delivers its copy. A delta that
arrives twice is counted once, because its identity is recorded.
"""

from collections.abc import Sequence
from typing import Final

import grpc

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import logs
from figstream import membership_api
from figstream import metrics as metrics_lib
from figstream import notices as notices_lib
from figstream import sealing_notices
from figstream import usage_codec
from figstream import usage_copies
from figstream import usage_copying
from figstream import usage_delivery
from figstream import usage_delta
from figstream import usage_ledger
from figstream import usage_sealing
from figstream.rpc import usage_pb2
from figstream.rpc import usage_pb2_grpc

# Exchanges at shutdown before deltas are reported as lost.
_SHUTDOWN_ATTEMPTS: Final = 5
_SHUTDOWN_PAUSE_S: Final = 0.5


class _Servicer(usage_pb2_grpc.UsageHandoverServicer):
    def __init__(self, handover: "UsageHandover") -> None:
        self._handover = handover

    async def Deliver(  # noqa: N802
        self,
        request: usage_pb2.DeliverRequest,
        context: object,
    ) -> usage_pb2.DeliverAnswer:
        return self._handover.answer_delivery(request)

    async def KeepCopies(  # noqa: N802
        self,
        request: usage_pb2.KeepCopiesRequest,
        context: object,
    ) -> usage_pb2.KeepCopiesAnswer:
        return self._handover.answer_copies(request)


class UsageHandover:
    """Exchanges deltas with other daemons; a `daemon_context.RpcRole`."""

    def __init__(
        self,
        ledger: usage_ledger.Ledger,
        sealing: usage_sealing.UsageSealing,
        members: membership_api.Members,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        interval_s: float,
        sealers: sealing_notices.SealingNotices,
    ) -> None:
        """Initializes the copy sender and the delivery."""
        self._ledger = ledger
        self._sealing = sealing
        self._clock = clock
        self._metrics = metrics
        self._interval_s = interval_s
        self._copies = usage_copies.UsageCopies()
        self._copying = usage_copying.CopySender(ledger, members, metrics)
        self._delivery = usage_delivery.DeltaDelivery(
            ledger, self._copies, members, metrics, self.answer_delivery
        )
        self._sealers = sealers
        sealers.subscribe(self._delivery.set_sealing_daemon)

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the service to the peer server."""
        usage_pb2_grpc.add_UsageHandoverServicer_to_server(
            _Servicer(self), server
        )

    async def run(self) -> None:
        """Exchanges deltas until cancelled."""
        while True:
            await self._clock.sleep(self._interval_s)
            await self.exchange()

    async def hand_over(self) -> None:
        """Transfers every delta to other daemons before this daemon exits."""
        self._ledger.cut()
        for _ in range(_SHUTDOWN_ATTEMPTS):
            await self.exchange()
            if not self._uncopied_ids():
                return
            await self._clock.sleep(_SHUTDOWN_PAUSE_S)
        lost = len(self._uncopied_ids())
        self._metrics.event("usage_not_handed_over", lost)
        logs.error("usage_not_handed_over", deltas=lost)

    async def exchange(self) -> None:
        """Closes the delta if due, then copies and delivers all deltas."""
        self._sealers.publish(self._sealing.epoch)
        self._ledger.cut_if_due()
        await self._copying.send()
        await self._delivery.deliver()

    def answer_delivery(
        self, request: usage_pb2.DeliverRequest
    ) -> usage_pb2.DeliverAnswer:
        """Adds deltas to the draft and returns which deltas are counted."""
        epoch = self._sealing.epoch
        if not epoch:
            return usage_pb2.DeliverAnswer()
        held = [
            usage_codec.encode_id(delta.delta_id)
            for delta in map(usage_codec.decode_delta, request.deltas)
            if self._sealing.accept(delta) is usage_sealing.DeltaStatus.HELD
        ]
        counted = [
            usage_codec.encode_counted(run, self._sealing.counted(run))
            for run in map(usage_codec.decode_run, request.runs)
        ]
        return usage_pb2.DeliverAnswer(
            epoch=epoch,
            floor_ms=self._sealing.floor_ms,
            counted=counted,
            held=held,
        )

    def answer_copies(
        self, request: usage_pb2.KeepCopiesRequest
    ) -> usage_pb2.KeepCopiesAnswer:
        """Stores copies for another daemon; returns which are stored."""
        run = usage_codec.decode_run(request.run)
        kept = self._copies.retain(run, request.deltas, request.kept)
        return usage_pb2.KeepCopiesAnswer(kept=kept)

    def _uncopied_ids(self) -> Sequence[usage_delta.DeltaId]:
        return [
            delta.delta_id
            for delta in self._ledger.outstanding
            if delta.delta_id.sequence not in self._copying.copied
        ]


def make_usage_handover(
    context: daemon_context.DaemonContext,
    ledger: usage_ledger.Ledger,
    sealing: usage_sealing.UsageSealing,
    members: membership_api.Members,
    notices: notices_lib.Notices,
) -> UsageHandover:
    """Creates the role that transfers usage to the sealing daemon."""
    return UsageHandover(
        ledger,
        sealing,
        members,
        context.clock,
        context.metrics,
        usage_ledger.delta_interval_s(context.options.window_s),
        sealing_notices.make_sealing_notices(
            context.options.name, notices, context.clock
        ),
    )
