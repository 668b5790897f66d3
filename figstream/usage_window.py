"""The usage window: which deltas it holds and the bytes it reports.

Windows form one chain. Each stored window holds the exact text of its report
and the record of every delta that it or an earlier window counted, so that
one conditional write both fixes the figures and settles what they contain.
A delta opened before the window it falls into is listed as carried.
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

# Bytes; the platform takes a megabyte.
MAX_WINDOW_BYTES: Final = 900_000
# Bytes by which the digits of a sum may grow.
_SUM_GROWTH_BYTES: Final = 50
# Bytes of a run's record without its name and spans.
_RUN_BYTES: Final = 120
# Bytes of a span's record.
_SPAN_BYTES: Final = 60

_FigureKey = tuple[bool, str, str]


@attrs.frozen
class CountedRun:
    """The deltas of one run that sealed windows hold.

    Attributes:
      run: the run of a daemon.
      spans: sequence numbers counted.
      latest_ms: latest opening time among them, Unix milliseconds.
    """

    run: usage_delta.RunId
    spans: tuple[sequence_spans.Span, ...]
    latest_ms: int


@attrs.frozen
class UsageReport:
    """What the platform books for one window.

    Attributes:
      window: name of the window.
      start_ms: its start, Unix milliseconds.
      end_ms: its end, not included.
      figures: consumption within the window.
      carried: consumption before it that arrived late.
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
      number: place in the chain; 0 is the empty window before the first.
      start_ms: its start, Unix milliseconds.
      end_ms: its end, not included.
      report: the exact text to report.
      runs: deltas counted in this window and all before it.
      floor_ms: deltas opened before this Unix time are never counted again.
      write_id: tells this write from any other.
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
        """Returns the name it is reported under."""
        return window_name(self.start_ms, self.end_ms)

    @functools.cached_property
    def record_bytes(self) -> int:
        """Returns an upper bound of the record's size in the object."""
        return sum(
            _RUN_BYTES + len(item.run.daemon) + _SPAN_BYTES * len(item.spans)
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

    Deltas are summed as they come, so that memory grows with customers and
    classes and not with daemons.
    """

    def __init__(self, start_ms: int, end_ms: int) -> None:
        """Starts with no figures."""
        self.start_ms = start_ms
        self.end_ms = end_ms
        self._figures: dict[_FigureKey, usage_api.UsageItem] = {}
        self._sequences: dict[usage_delta.RunId, set[int]] = {}
        self._latest_ms: dict[usage_delta.RunId, int] = {}
        self._bytes = 0

    @property
    def figures(self) -> Sequence[usage_api.UsageItem]:
        """Returns consumption within the window, in a stable order."""
        return self._sorted(carried=False)

    @property
    def carried(self) -> Sequence[usage_api.UsageItem]:
        """Returns consumption before the window, in a stable order."""
        return self._sorted(carried=True)

    def holds(self, delta_id: usage_delta.DeltaId) -> bool:
        """Tells whether a delta is among the figures."""
        return delta_id.sequence in self._sequences.get(delta_id.run, ())

    def add(self, delta: usage_delta.UsageDelta, record_bytes: int) -> bool:
        """Adds a delta unless the object would grow too long.

        Args:
          delta: not yet counted anywhere.
          record_bytes: size of the record of the window before.

        Returns:
          Whether it was added; if not, it waits for a later window.
        """
        carried = delta.opened_ms < self.start_ms
        keys = [
            (carried, item.customer, item.request_class) for item in delta.items
        ]
        grown = self._bytes + self._growth(delta, keys)
        if grown + record_bytes > MAX_WINDOW_BYTES:
            return False
        self._bytes = grown
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
        """Returns the record with this draft's deltas in it.

        A run whose deltas were all opened before the floor is left out: none
        of them can be counted again, since the floor refuses them.
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

    def _growth(
        self, delta: usage_delta.UsageDelta, keys: Iterable[_FigureKey]
    ) -> int:
        pairs = zip(keys, delta.items, strict=True)
        fresh = (item for key, item in pairs if key not in self._figures)
        record_bytes = self._record_growth(delta.delta_id)
        return sum(map(_figure_bytes, fresh)) + record_bytes

    def _record_growth(self, delta_id: usage_delta.DeltaId) -> int:
        sequences = self._sequences.get(delta_id.run)
        if sequences is None:
            return _RUN_BYTES + len(delta_id.run.daemon) + _SPAN_BYTES
        number = delta_id.sequence
        joins = number - 1 in sequences or number + 1 in sequences
        return 0 if joins else _SPAN_BYTES

    def _sorted(self, *, carried: bool) -> list[usage_api.UsageItem]:
        return [
            self._figures[key]
            for key in sorted(self._figures)
            if key[0] == carried
        ]


def _figure_bytes(item: usage_api.UsageItem) -> int:
    """Returns the most that a figure takes, encoded within an object."""
    encoded = serialization.to_json(item).decode()
    return len(serialization.to_json(encoded)) + _SUM_GROWTH_BYTES


def window_name(start_ms: int, end_ms: int) -> str:
    """Returns the name that a window is reported under."""
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
      draft: figures of deltas that the previous window's record lacks.
      retention_ms: how long deltas are accepted after they were opened.
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
