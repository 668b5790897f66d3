"""Usage windows: their drafts, their stored form and the text they report.

`usage_sealing` fills and seals the windows, which form one chain. Each stored
window holds the exact text of its report and a record of every delta that
this window or an earlier one counted. One conditional write therefore fixes
both the figures and the set of deltas included in them. A delta that was
opened before the start of the window that counts it is listed as carried.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
from typing import Final

import attrs

from figstream import sequence_spans
from figstream import serialization
from figstream import usage_api
from figstream import usage_delta

# The platform accepts objects of up to a megabyte.
MAX_WINDOW_BYTES: Final = 900_000
# A figure may grow by this much as the digits of its sums increase.
_SUM_GROWTH_BYTES: Final = 50
# Size of the record of a run without its daemon name and spans.
_RUN_RECORD_BYTES: Final = 120
_SPAN_RECORD_BYTES: Final = 60

_FigureKey = tuple[bool, str, str]


@attrs.frozen
class CountedRun:
    """Record of the deltas of one run that sealed windows hold.

    Attributes:
      run: the run of a daemon.
      spans: sequence numbers of the counted deltas.
      latest_ms: latest opening time of these deltas, Unix milliseconds.
    """

    run: usage_delta.RunId
    spans: tuple[sequence_spans.Span, ...]
    latest_ms: int


@attrs.frozen
class UsageReport:
    """Report of the consumption in one window, as booked by the platform.

    Attributes:
      window: name of the window.
      start_ms: start of the window, Unix milliseconds.
      end_ms: end of the window (exclusive), Unix milliseconds.
      figures: consumption within the window.
      carried: consumption from before the window that arrived late.
    """

    window: str
    start_ms: int
    end_ms: int
    figures: tuple[usage_api.UsageItem, ...]
    carried: tuple[usage_api.UsageItem, ...]


@attrs.frozen(slots=False)
class StoredWindow:
    """A sealed window as the object store holds it.

    Attributes:
      number: position in the chain; 0 is the empty window before the first.
      start_ms: start of the window, Unix milliseconds.
      end_ms: end of the window (exclusive), Unix milliseconds.
      report: the exact text to report.
      runs: deltas counted in this window and in all earlier windows.
      floor_ms: deltas opened before this Unix time are no longer counted.
      write_id: unique id of this write.
    """

    number: int
    start_ms: int
    end_ms: int
    report: str = ""
    runs: tuple[CountedRun, ...] = ()
    floor_ms: int = 0
    write_id: str = ""

    @property
    def name(self) -> str:
        """Returns the name under which the window is reported."""
        return window_name(self.start_ms, self.end_ms)

    @functools.cached_property
    def record_bytes(self) -> int:
        """Returns an upper bound of the size that `runs` has in the object."""
        return sum(
            _RUN_RECORD_BYTES
            + len(item.run.daemon)
            + _SPAN_RECORD_BYTES * len(item.spans)
            for item in self.runs
        )

    def spans_of(
        self, run: usage_delta.RunId
    ) -> tuple[sequence_spans.Span, ...]:
        """Returns the sequence numbers of a run that are counted."""
        counted = self._counted_by_run.get(run)
        return counted.spans if counted else ()

    @functools.cached_property
    def _counted_by_run(self) -> Mapping[usage_delta.RunId, CountedRun]:
        return {item.run: item for item in self.runs}


class WindowDraft:
    """The figures of a window that is not sealed yet.

    Deltas are summed as they arrive, so that memory use grows with the number
    of customers and request classes, not with the number of daemons.
    """

    def __init__(self, start_ms: int, end_ms: int) -> None:
        """Initializes without figures."""
        self.start_ms = start_ms
        self.end_ms = end_ms
        self._figures: dict[_FigureKey, usage_api.UsageItem] = {}
        self._sequences: dict[usage_delta.RunId, set[int]] = {}
        self._latest_ms: dict[usage_delta.RunId, int] = {}
        self._total_bytes = 0

    @property
    def figures(self) -> Sequence[usage_api.UsageItem]:
        """Returns the consumption within the window, in a stable order."""
        return self._sorted(carried=False)

    @property
    def carried(self) -> Sequence[usage_api.UsageItem]:
        """Returns consumption from before the window, in a stable order."""
        return self._sorted(carried=True)

    def holds(self, delta_id: usage_delta.DeltaId) -> bool:
        """Returns whether the figures include a delta."""
        return delta_id.sequence in self._sequences.get(delta_id.run, ())

    def add(self, delta: usage_delta.UsageDelta, record_bytes: int) -> bool:
        """Adds a delta unless the window's object would become too large.

        Args:
          delta: a delta that is not counted in any window yet.
          record_bytes: `StoredWindow.record_bytes` of the previous window.

        Returns:
          Whether the delta was added; otherwise a later window counts it.
        """
        carried = delta.opened_ms < self.start_ms
        keys = [
            (carried, item.customer, item.request_class) for item in delta.items
        ]
        total_bytes = self._total_bytes + self._growth_bytes(delta, keys)
        if total_bytes + record_bytes > MAX_WINDOW_BYTES:
            return False
        self._total_bytes = total_bytes
        for key, item in zip(keys, delta.items, strict=True):
            self._figures[key] = usage_delta.add(self._figures.get(key), item)
        run = delta.delta_id.run
        self._sequences.setdefault(run, set()).add(delta.delta_id.sequence)
        latest_ms = self._latest_ms.get(run, 0)
        self._latest_ms[run] = max(latest_ms, delta.opened_ms)
        return True

    def counted_after(
        self, runs: Iterable[CountedRun], floor_ms: int
    ) -> tuple[CountedRun, ...]:
        """Returns the record of counted runs, including this draft's deltas.

        A run whose deltas were all opened before the floor is left out: the
        floor already prevents these deltas from being counted again.
        """
        merged = {item.run: item for item in runs}
        for run, sequences in self._sequences.items():
            before = merged.get(run, CountedRun(run, (), 0))
            merged[run] = CountedRun(
                run,
                sequence_spans.add_sequences(before.spans, sequences),
                max(before.latest_ms, self._latest_ms[run]),
            )
        ordered = sorted(
            merged.values(),
            key=lambda item: (item.run.daemon, item.run.start_number),
        )
        return tuple(item for item in ordered if item.latest_ms >= floor_ms)

    def _growth_bytes(
        self, delta: usage_delta.UsageDelta, keys: Iterable[_FigureKey]
    ) -> int:
        pairs = zip(keys, delta.items, strict=True)
        fresh = (item for key, item in pairs if key not in self._figures)
        record_bytes = self._record_growth_bytes(delta.delta_id)
        return sum(map(_figure_bytes, fresh)) + record_bytes

    def _record_growth_bytes(self, delta_id: usage_delta.DeltaId) -> int:
        sequences = self._sequences.get(delta_id.run)
        if sequences is None:
            return (
                _RUN_RECORD_BYTES
                + len(delta_id.run.daemon)
                + _SPAN_RECORD_BYTES
            )
        number = delta_id.sequence
        joins = number - 1 in sequences or number + 1 in sequences
        return 0 if joins else _SPAN_RECORD_BYTES

    def _sorted(self, *, carried: bool) -> list[usage_api.UsageItem]:
        return [
            self._figures[key]
            for key in sorted(self._figures)
            if key[0] == carried
        ]


def _figure_bytes(item: usage_api.UsageItem) -> int:
    """Returns the maximum size of a figure as encoded in an object."""
    encoded = serialization.to_json(item).decode()
    return len(serialization.to_json(encoded)) + _SUM_GROWTH_BYTES


def window_name(start_ms: int, end_ms: int) -> str:
    """Returns the name under which a window is reported."""
    return f"{start_ms}-{end_ms}"


def seal(
    previous: StoredWindow,
    draft: WindowDraft,
    retention_ms: int,
    write_id: str,
) -> StoredWindow:
    """Returns the stored window that follows the previous one.

    Args:
      previous: the last window of the chain.
      draft: figures of deltas that no earlier window has counted.
      retention_ms: time after their opening for which deltas are accepted.
      write_id: unique id of this write.
    """
    report = UsageReport(
        window_name(draft.start_ms, draft.end_ms),
        draft.start_ms,
        draft.end_ms,
        tuple(draft.figures),
        tuple(draft.carried),
    )
    floor_ms = max(previous.floor_ms, draft.end_ms - retention_ms)
    return StoredWindow(
        previous.number + 1,
        draft.start_ms,
        draft.end_ms,
        serialization.to_json(report).decode(),
        draft.counted_after(previous.runs, floor_ms),
        floor_ms,
        write_id,
    )
