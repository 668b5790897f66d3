"""Stores copies of other daemons' usage deltas until windows count them.

Copies are stored in their encoded form. If the daemon that counted a delta
fails, `usage_delivery` sends the copy to the sealing daemon.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from figstream import sequence_spans
from figstream import usage_codec
from figstream import usage_delta
from figstream.rpc import usage_pb2

# An eighth of a daemon's memory.
MAX_COPIES_BYTES: Final = 32_000_000


class UsageCopies:
    """The copies that this daemon stores for other daemons."""

    def __init__(self) -> None:
        """Initializes without copies."""
        self._encoded: dict[usage_delta.DeltaId, bytes] = {}
        self._total_bytes = 0

    @property
    def runs(self) -> Sequence[usage_delta.RunId]:
        """Returns the runs whose deltas are stored here."""
        return list(dict.fromkeys(item.run for item in self._encoded))

    def retain(
        self,
        run: usage_delta.RunId,
        deltas: Iterable[usage_pb2.Delta],
        wanted: Iterable[int],
    ) -> Sequence[int]:
        """Adds copies of a run's deltas and removes unwanted copies.

        Args:
          run: the run that counted the deltas.
          deltas: new deltas.
          wanted: all sequence numbers of the run to retain.

        Returns:
          The sequence numbers stored now. Some of the wanted ones are missing
          if the memory limit is reached.
        """
        for delta in deltas:
            self._add(usage_codec.decode_id(delta), delta.SerializeToString())
        sequences = set(wanted)
        for delta_id in self._ids_of_run(run):
            if delta_id.sequence not in sequences:
                self._drop(delta_id)
        return [delta_id.sequence for delta_id in self._ids_of_run(run)]

    def acknowledge(
        self, run: usage_delta.RunId, counted: Sequence[sequence_spans.Span]
    ) -> None:
        """Removes the copies of deltas that sealed windows hold."""
        for delta_id in self._ids_of_run(run):
            if sequence_spans.contains(counted, delta_id.sequence):
                self._drop(delta_id)

    def orphans(
        self, live: frozenset[usage_delta.RunId]
    ) -> Sequence[usage_pb2.Delta]:
        """Returns the copies of deltas whose run is not live."""
        return [
            usage_pb2.Delta.FromString(encoded)
            for delta_id, encoded in self._encoded.items()
            if delta_id.run not in live
        ]

    def expire(self, floor_ms: int) -> None:
        """Removes the copies opened before a Unix time in milliseconds."""
        for delta_id, encoded in list(self._encoded.items()):
            if usage_pb2.Delta.FromString(encoded).opened_ms < floor_ms:
                self._drop(delta_id)

    def _ids_of_run(
        self, run: usage_delta.RunId
    ) -> Sequence[usage_delta.DeltaId]:
        return [item for item in self._encoded if item.run == run]

    def _add(self, delta_id: usage_delta.DeltaId, encoded: bytes) -> None:
        room = self._total_bytes + len(encoded) <= MAX_COPIES_BYTES
        if room and delta_id not in self._encoded:
            self._encoded[delta_id] = encoded
            self._total_bytes += len(encoded)

    def _drop(self, delta_id: usage_delta.DeltaId) -> None:
        self._total_bytes -= len(self._encoded.pop(delta_id))
