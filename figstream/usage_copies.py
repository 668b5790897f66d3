"""Copies of other daemons' usage deltas, kept until they are counted.

A copy is kept encoded. Copies of a daemon that died are handed on to the
sealing daemon by the one that keeps them.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from figstream import sequence_spans
from figstream import usage_codec
from figstream import usage_delta
from figstream.rpc import usage_pb2

# Bytes; an eighth of a daemon's memory.
MAX_COPIES_BYTES: Final = 32_000_000


class UsageCopies:
    """The copies that this daemon keeps for others."""

    def __init__(self) -> None:
        """Starts with none."""
        self._encoded: dict[usage_delta.DeltaId, bytes] = {}
        self._bytes = 0

    @property
    def runs(self) -> Sequence[usage_delta.RunId]:
        """Returns the runs that copies are kept of."""
        return list(dict.fromkeys(item.run for item in self._encoded))

    def keep(
        self,
        run: usage_delta.RunId,
        deltas: Iterable[usage_pb2.Delta],
        wanted: Iterable[int],
    ) -> Sequence[int]:
        """Adds copies of a run and drops those no longer wanted.

        Args:
          run: the run that the deltas are of.
          deltas: new deltas.
          wanted: every sequence number to go on keeping.

        Returns:
          The sequence numbers kept now, which lack some if memory is short.
        """
        for delta in deltas:
            self._add(usage_codec.decode_id(delta), delta.SerializeToString())
        sequences = set(wanted)
        for delta_id in self._of(run):
            if delta_id.sequence not in sequences:
                self._drop(delta_id)
        return [delta_id.sequence for delta_id in self._of(run)]

    def acknowledge(
        self, run: usage_delta.RunId, counted: Sequence[sequence_spans.Span]
    ) -> None:
        """Drops the copies that sealed windows hold."""
        for delta_id in self._of(run):
            if sequence_spans.contains(counted, delta_id.sequence):
                self._drop(delta_id)

    def orphans(
        self, live: frozenset[usage_delta.RunId]
    ) -> Sequence[usage_pb2.Delta]:
        """Returns the copies whose daemons are not among the live runs."""
        return [
            usage_pb2.Delta.FromString(encoded)
            for delta_id, encoded in self._encoded.items()
            if delta_id.run not in live
        ]

    def expire(self, floor_ms: int) -> None:
        """Drops the copies opened before a Unix time in milliseconds."""
        for delta_id, encoded in list(self._encoded.items()):
            if usage_pb2.Delta.FromString(encoded).opened_ms < floor_ms:
                self._drop(delta_id)

    def _of(self, run: usage_delta.RunId) -> Sequence[usage_delta.DeltaId]:
        return [item for item in self._encoded if item.run == run]

    def _add(self, delta_id: usage_delta.DeltaId, encoded: bytes) -> None:
        room = self._bytes + len(encoded) <= MAX_COPIES_BYTES
        if room and delta_id not in self._encoded:
            self._encoded[delta_id] = encoded
            self._bytes += len(encoded)

    def _drop(self, delta_id: usage_delta.DeltaId) -> None:
        self._bytes -= len(self._encoded.pop(delta_id))
