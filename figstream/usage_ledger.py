"""Counts consumption in this daemon until a sealed window holds it.

The open delta counts by customer and request class, never by request. Deltas
are closed at regular intervals and at window boundaries, numbered, and stored
until the sealing daemon acknowledges them. While they are not acknowledged,
the interval grows with the age of the oldest delta, so that an outage of any
length leaves a bounded number of deltas.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from figstream import clock as clock_lib
from figstream import defaults
from figstream import metrics as metrics_lib
from figstream import sequence_spans
from figstream import usage_api
from figstream import usage_delta

_MS_PER_S: Final = 1000
# Somewhat more than the deltas that are outstanding in a normal window.
_TARGET_OUTSTANDING_DELTAS: Final = 24
# An outage of any length leaves at most this many deltas closed on schedule.
_MAX_OUTSTANDING_DELTAS: Final = 256
# A window is sealed two delta intervals after its end. With at least this many
# intervals per window, at most a third of the window passes until then, which
# is the time to find the sealing daemon after a takeover.
_DELTAS_PER_WINDOW: Final = 6


class Ledger:
    """The counts of one daemon; satisfies `usage_api.UsageLedger`."""

    def __init__(
        self,
        run: usage_delta.RunId,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        window_s: float,
    ) -> None:
        """Initializes without counts."""
        self._run = run
        self._clock = clock
        self._metrics = metrics
        self._window_ms = round(window_s * _MS_PER_S)
        self._interval_ms = round(delta_interval_s(window_s) * _MS_PER_S)
        self._open_items: dict[tuple[str, str], usage_api.UsageItem] = {}
        self._opened_ms = 0
        self._last_cut_ms = self._now_ms()
        self._sequence = 0
        self._outstanding: dict[int, usage_delta.UsageDelta] = {}

    @property
    def run(self) -> usage_delta.RunId:
        """Returns the run of the daemon whose consumption is counted."""
        return self._run

    @property
    def outstanding(self) -> Sequence[usage_delta.UsageDelta]:
        """Returns the deltas that no sealed window is known to hold."""
        return list(self._outstanding.values())

    def add(self, item: usage_api.UsageItem) -> None:
        """Adds the consumption of a request."""
        now_ms = self._now_ms()
        if self._open_items and self._crossed_boundary(now_ms):
            self.cut()
        if not self._open_items:
            self._opened_ms = now_ms
        key = (item.customer, item.request_class)
        self._open_items[key] = usage_delta.add(self._open_items.get(key), item)

    def cut_if_due(self) -> None:
        """Closes the open delta if its interval or its window has ended."""
        now_ms = self._now_ms()
        if (
            not self._open_items
            or len(self._outstanding) >= _MAX_OUTSTANDING_DELTAS
        ):
            return
        due = now_ms - self._last_cut_ms >= self._spacing_ms(now_ms)
        if due or self._crossed_boundary(now_ms):
            self.cut()

    def cut(self) -> None:
        """Closes the open delta, unless it is empty."""
        if not self._open_items:
            return
        self._sequence += 1
        self._outstanding[self._sequence] = usage_delta.UsageDelta(
            usage_delta.DeltaId(self._run, self._sequence),
            self._opened_ms,
            tuple(self._open_items[key] for key in sorted(self._open_items)),
        )
        self._open_items.clear()
        self._last_cut_ms = self._now_ms()

    def acknowledge(
        self, counted: Iterable[sequence_spans.Span], floor_ms: int
    ) -> None:
        """Removes deltas that are sealed or too old to be counted.

        Args:
          counted: sequence numbers that sealed windows hold.
          floor_ms: deltas opened before this Unix time are never counted.
        """
        spans = tuple(counted)
        for sequence, delta in list(self._outstanding.items()):
            if sequence_spans.contains(spans, sequence):
                del self._outstanding[sequence]
            elif delta.opened_ms < floor_ms:
                del self._outstanding[sequence]
                self._metrics.event("usage_delta_expired")

    def _crossed_boundary(self, now_ms: int) -> bool:
        same_window = (
            self._opened_ms // self._window_ms == now_ms // self._window_ms
        )
        return (
            not same_window
            and len(self._outstanding) < _TARGET_OUTSTANDING_DELTAS
        )

    def _spacing_ms(self, now_ms: int) -> float:
        oldest = next(iter(self._outstanding.values()), None)
        age_ms = now_ms - oldest.opened_ms if oldest else 0
        return max(self._interval_ms, age_ms / _TARGET_OUTSTANDING_DELTAS)

    def _now_ms(self) -> int:
        return int(self._clock.wall() * _MS_PER_S)


def delta_interval_s(window_s: float) -> float:
    """Returns the delta interval in seconds, at most a sixth of a window."""
    return min(defaults.USAGE_DELTA_S, window_s / _DELTAS_PER_WINDOW)


def make_ledger(
    run: usage_delta.RunId,
    clock: clock_lib.Clock,
    metrics: metrics_lib.Metrics,
    window_s: float,
) -> Ledger:
    """Creates the ledger of one run of a daemon."""
    return Ledger(run, clock, metrics, window_s)
