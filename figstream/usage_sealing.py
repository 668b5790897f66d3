"""Seals usage windows and reports them, in the daemon that holds the lease.

`usage_handover` delivers deltas, which are summed in a draft. After the end
of the window and a grace period, the draft becomes a stored window, and only
the text of that object is ever reported. A delta is acknowledged as counted
only after a stored window holds it. The sealing daemon may therefore crash at
any step: its draft is lost, the deltas are sent again to the next lease
holder, and the windows that were stored are read from the object store.
"""

from collections.abc import Callable
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

# Two hours of windows of one minute.
MAX_UNREPORTED_WINDOWS: Final = 120
_MS_PER_S: Final = 1000
# Long enough that no two epochs or writes have the same id.
_RANDOM_ID_BYTES: Final = 8
# Limits the polling rate if windows are very short.
_MIN_STEP_INTERVAL_S: Final = 0.05


class DeltaStatus(enum.Enum):
    """State of a delta in the sealing daemon.

    COUNTED: a stored window holds the delta.
    HELD: a draft holds the delta.
    WAIT: no draft can accept the delta at present.
    EXPIRED: the delta is too old to be counted.
    """

    COUNTED = "counted"
    HELD = "held"
    WAIT = "wait"
    EXPIRED = "expired"


class UsageSealing:
    """Role of the sealing daemon; satisfies `daemon_context.Role`."""

    def __init__(
        self,
        lease: lease_api.Lease,
        platform: platform_api.Platform,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        window_s: float,
    ) -> None:
        """Initializes without a view of the chain."""
        self._lease = lease
        self._reports = platform.usage
        self._clock = clock
        self._metrics = metrics
        self._window_ms = round(window_s * _MS_PER_S)
        self._chain = usage_chain.UsageChain(
            platform.objects, platform.era, self._window_ms
        )
        self._interval_s = usage_ledger.delta_interval_s(window_s)
        self._epoch = ""
        self._loaded_at_ms = 0
        self._drafts: list[usage_window.WindowDraft] = []
        self._draft_being_sealed: usage_window.WindowDraft | None = None
        self._on_delta: Callable[[usage_delta.UsageDelta], None] | None = None
        self._on_begin: Callable[[], None] | None = None

    @property
    def epoch(self) -> str:
        """Returns an id that changes if drafts are lost, or "" if inactive."""
        return self._epoch if self._lease.fencing() is not None else ""

    @property
    def floor_ms(self) -> int:
        """Returns the Unix time before which no delta is accepted."""
        return self._chain.tail.floor_ms if self._chain.tail else 0

    def set_listener(
        self,
        on_delta: Callable[[usage_delta.UsageDelta], None],
        on_begin: Callable[[], None],
    ) -> None:
        """Sets what hears of the consumption of the whole fleet.

        Args:
          on_delta: called with each delta that is added to a draft.
          on_begin: called when this daemon begins to seal; deltas of the last
            seconds may follow again.
        """
        self._on_delta = on_delta
        self._on_begin = on_begin

    def counted(
        self, run: usage_delta.RunId
    ) -> tuple[sequence_spans.Span, ...]:
        """Returns the sequence numbers of a run that stored windows hold."""
        return self._chain.tail.spans_of(run) if self._chain.tail else ()

    def accept(self, delta: usage_delta.UsageDelta) -> DeltaStatus:
        """Adds a delta to the draft for its opening time; returns its state."""
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
        if self._on_delta:
            self._on_delta(delta)
        return DeltaStatus.HELD

    async def step(self) -> None:
        """Seals and reports every window that is due."""
        if self._lease.fencing() is None:
            self._reset()
            return
        if self._chain.tail is None and not await self._load():
            return
        while await self._report_oldest() or await self._seal_next():
            pass
        if self._chain.tail is None:
            self._reset()

    async def run(self) -> None:
        """Seals and reports until cancelled."""
        while True:
            await self.step()
            active = self._lease.fencing() is not None
            interval_s = self._interval_s / 2 if active else self._interval_s
            await self._clock.sleep(max(interval_s, _MIN_STEP_INTERVAL_S))

    async def hand_over(self) -> None:
        """Discards the drafts; the daemons still hold the deltas."""
        self._reset()

    async def _load(self) -> bool:
        start_ms = self._now_ms() // self._window_ms * self._window_ms
        if not await self._chain.load(start_ms):
            self._chain.discard_view()
            return False
        tail = self._chain.tail
        assert tail is not None
        self._epoch = secrets.token_hex(_RANDOM_ID_BYTES)
        self._loaded_at_ms = self._now_ms()
        if self._on_begin:
            self._on_begin()
        self._drafts = [self._draft_after(tail.end_ms)]
        self._drafts.append(self._draft_after(self._drafts[0].end_ms))
        return True

    async def _seal_next(self) -> bool:
        tail = self._chain.tail
        if tail is None or not self._sealing_due():
            return False
        if self._chain.unreported >= MAX_UNREPORTED_WINDOWS:
            self._metrics.event("usage_seal_waits_for_reports")
            return False
        sealed, following = self._drafts
        self._draft_being_sealed = sealed
        self._drafts = [following, self._draft_after(following.end_ms)]
        window = usage_window.seal(
            tail,
            sealed,
            round(defaults.USAGE_RETENTION_S * _MS_PER_S),
            secrets.token_hex(_RANDOM_ID_BYTES),
        )
        if self._lease.fencing() is None or not await self._chain.append(
            window
        ):
            self._metrics.event("usage_seal_unconfirmed")
            self._reset()
            return False
        self._metrics.event("usage_window_sealed")
        logs.info(
            "usage_window_sealed",
            window=window.name,
            requests=sum(item.requests for item in sealed.figures),
        )
        if self._draft_being_sealed is not sealed:
            # This daemon handed over meanwhile and has no drafts.
            self._reset()
            return False
        self._draft_being_sealed = None
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

    def _sealing_due(self) -> bool:
        # Deltas need time to arrive, both after a takeover of the lease and
        # after the end of a window.
        grace_ms = 2 * self._interval_s * _MS_PER_S
        since_ms = max(self._drafts[0].end_ms, self._loaded_at_ms)
        return self._now_ms() >= since_ms + grace_ms

    def _open_drafts(self) -> Iterable[usage_window.WindowDraft]:
        sealing = [self._draft_being_sealed] if self._draft_being_sealed else []
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

    def _reset(self) -> None:
        self._chain.discard_view()
        self._epoch = ""
        self._drafts = []
        self._draft_being_sealed = None

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
