"""Seals usage windows and reports them, in the daemon that holds the lease.

Deltas are summed into a draft. When the window and a grace time are over, the
draft becomes a stored window, and only the text of that object is ever
reported. A daemon is told that a delta is counted only once a stored window
holds it, so a sealing daemon may die at any step: its draft is lost, the
deltas are sent again to the next holder, and what was stored is found there.
"""

from collections.abc import Iterable
import enum
import secrets
from typing import Final

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import defaults
from figstream import lease_api
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import platform_api
from figstream import sequence_spans
from figstream import usage_chain
from figstream import usage_delta
from figstream import usage_ledger
from figstream import usage_window

# Windows; two hours of one minute each.
MAX_UNREPORTED_WINDOWS: Final = 120
_MS_PER_S: Final = 1000
# Bytes; no two epochs are alike.
_EPOCH_BYTES: Final = 8
# Seconds; bounds the polls with very short windows.
_MIN_STEP_S: Final = 0.05


class DeltaStatus(enum.Enum):
    """What the sealing daemon did with a delta."""

    COUNTED = "counted"
    HELD = "held"
    WAIT = "wait"
    EXPIRED = "expired"


class UsageSealing:
    """The sealing daemon; satisfies `daemon_context.Role`."""

    def __init__(
        self,
        lease: lease_api.Lease,
        platform: platform_api.Platform,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        window_s: float,
    ) -> None:
        """Starts without a view of the chain."""
        self._lease = lease
        self._reports = platform.usage
        self._chain = usage_chain.UsageChain(platform.objects)
        self._clock = clock
        self._metrics = metrics
        self._window_ms = round(window_s * _MS_PER_S)
        self._interval_s = usage_ledger.delta_interval_s(window_s)
        self._epoch = ""
        self._loaded_ms = 0
        self._drafts: list[usage_window.WindowDraft] = []
        self._in_sealing: usage_window.WindowDraft | None = None

    @property
    def epoch(self) -> str:
        """Returns an id that changes when drafts are lost, "" if inactive."""
        return self._epoch if self._lease.fencing() is not None else ""

    @property
    def floor_ms(self) -> int:
        """Returns the Unix time before which no delta is accepted."""
        return self._chain.tail.floor_ms if self._chain.tail else 0

    def counted(
        self, run: usage_delta.RunId
    ) -> tuple[sequence_spans.Span, ...]:
        """Returns the sequence numbers of a run that stored windows hold."""
        return self._chain.tail.spans_of(run) if self._chain.tail else ()

    def take(self, delta: usage_delta.UsageDelta) -> DeltaStatus:
        """Adds a delta to the draft that its opening time belongs to."""
        tail = self._chain.tail
        if tail is None or not self.epoch:
            return DeltaStatus.WAIT
        if delta.opened_ms < tail.floor_ms:
            return DeltaStatus.EXPIRED
        counted = tail.spans_of(delta.delta_id.run)
        if sequence_spans.contains(counted, delta.delta_id.sequence):
            return DeltaStatus.COUNTED
        if any(draft.holds(delta.delta_id) for draft in self._open_drafts()):
            return DeltaStatus.HELD
        draft = self._draft_for(delta.opened_ms)
        if draft is None or not draft.add(delta, tail.record_bytes):
            return DeltaStatus.WAIT
        return DeltaStatus.HELD

    async def step(self) -> None:
        """Seals and reports every window that is due."""
        if self._lease.fencing() is None:
            self._forget()
            return
        if self._chain.tail is None and not await self._load():
            return
        while await self._report_oldest() or await self._seal_next():
            pass
        if self._chain.tail is None:
            self._forget()

    async def run(self) -> None:
        """Seals and reports until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(max(self._interval_s / 2, _MIN_STEP_S))

    async def hand_over(self) -> None:
        """Drops the draft; its deltas are still with their daemons."""
        self._forget()

    async def _load(self) -> bool:
        start_ms = self._now_ms() // self._window_ms * self._window_ms
        if not await self._chain.load(start_ms):
            self._chain.forget()
            return False
        tail = self._chain.tail
        assert tail is not None
        self._epoch = secrets.token_hex(_EPOCH_BYTES)
        self._loaded_ms = self._now_ms()
        self._drafts = [self._draft_after(tail.end_ms)]
        self._drafts.append(self._draft_after(self._drafts[0].end_ms))
        return True

    async def _seal_next(self) -> bool:
        tail = self._chain.tail
        if tail is None or not self._due():
            return False
        if self._chain.unreported >= MAX_UNREPORTED_WINDOWS:
            self._metrics.event("usage_seal_waits_for_reports")
            return False
        self._in_sealing, following = self._drafts
        self._drafts = [following, self._draft_after(following.end_ms)]
        window = usage_window.seal(
            tail,
            self._in_sealing,
            round(defaults.USAGE_RETENTION_S * _MS_PER_S),
            secrets.token_hex(_EPOCH_BYTES),
        )
        if self._lease.fencing() is None or not await self._chain.append(
            window
        ):
            self._metrics.event("usage_seal_unconfirmed")
            self._forget()
            return False
        sealed, self._in_sealing = self._in_sealing, None
        self._metrics.event("usage_window_sealed")
        logs.info(
            "usage_window_sealed",
            window=window.name,
            requests=sum(item.requests for item in sealed.figures),
        )
        return True

    async def _report_oldest(self) -> bool:
        window = await self._chain.oldest_unreported()
        fencing = self._lease.fencing()
        if window is None or fencing is None:
            return False
        outcome = await self._reports.report(
            window.name,
            window.report.encode(),
            fencing,
            lambda: self._lease.fencing() == fencing,
        )
        if not isinstance(outcome, platform_api.ReportAccepted):
            self._metrics.event("usage_report_unconfirmed")
            logs.warning(
                "usage_report_unconfirmed",
                window=window.name,
                outcome=type(outcome).__name__,
                detail=outcome.detail,
            )
            return False
        self._metrics.event("usage_window_reported")
        return await self._chain.mark_reported(window.number)

    def _due(self) -> bool:
        # Deltas need a while to arrive, after a take-over as much as after
        # the end of a window.
        grace_ms = 2 * self._interval_s * _MS_PER_S
        since_ms = max(self._drafts[0].end_ms, self._loaded_ms)
        return self._now_ms() >= since_ms + grace_ms

    def _open_drafts(self) -> Iterable[usage_window.WindowDraft]:
        sealing = [self._in_sealing] if self._in_sealing else []
        return (*sealing, *self._drafts)

    def _draft_for(self, opened_ms: int) -> usage_window.WindowDraft | None:
        from_future = opened_ms > self._now_ms() + self._window_ms
        if from_future:
            return self._drafts[0]
        return next(
            (draft for draft in self._drafts if opened_ms < draft.end_ms), None
        )

    def _draft_after(self, end_ms: int) -> usage_window.WindowDraft:
        return usage_window.WindowDraft(end_ms, end_ms + self._window_ms)

    def _forget(self) -> None:
        self._chain.forget()
        self._epoch = ""
        self._drafts = []
        self._in_sealing = None

    def _now_ms(self) -> int:
        return int(self._clock.wall() * _MS_PER_S)


def make_usage_sealing(
    context: daemon_context.DaemonContext, lease: lease_api.Lease
) -> UsageSealing:
    """Creates the role that seals and reports usage windows."""
    return UsageSealing(
        lease,
        context.platform,
        context.clock,
        context.metrics,
        context.options.window_s,
    )
