"""Stores one lease in an object of the platform; used by `lease`.

Each write carries a unique id. After a lost answer the object is read back,
and the stored id shows whether the write took effect.
"""

import dataclasses
import itertools
from typing import Final

import attrs

from figstream import errors
from figstream import logs
from figstream import platform_api
from figstream import serialization
from figstream import store_era

PREFIX: Final = "leases/"
# Number of reads before the outcome of a write is reported as undecided.
_READ_ATTEMPTS: Final = 3
_MAX_DETAIL_LENGTH: Final = 400


@attrs.frozen
class LeaseRecord:
    """Lease as stored.

    Attributes:
      holder: name of the VM that holds the lease, "" after a resignation.
      start_number: start number of the holder.
      fencing: fencing number, which increases with each new holder.
      duration_s: seconds for which a write extends the lease, counted from
        before it was sent.
      write_id: unique id of the write.
      state: state recorded with the lease, encoded by the code that uses it.
      era: era of the store in which the holder acquired the lease.
    """

    holder: str
    start_number: int
    fencing: int
    duration_s: float
    write_id: str
    state: str = ""
    era: int = 0


@attrs.frozen
class StoredLease:
    """Record and the version of the object that contains it."""

    record: LeaseRecord
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The write is stored."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """The object contains another write; None if the object is absent."""

    current: StoredLease | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The write may have taken effect, or may still do so."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The write did not take effect and never will."""

    detail: str


PutOutcome = Stored | Replaced | Undecided | NotWritten


class LeaseStore:
    """Reads and writes one lease."""

    def __init__(
        self, objects: platform_api.ObjectStore, name: str, writer: str
    ) -> None:
        """Initializes the store of one lease.

        Args:
          objects: object API of the platform.
          name: name of the lease.
          writer: prefix of the write ids, unique to this run of the daemon.
        """
        self._objects = objects
        self._object_name = PREFIX + name
        self._writer = writer
        self._sequence = itertools.count(1)

    def next_write_id(self) -> str:
        """Returns a new write id."""
        return f"{self._writer}-{next(self._sequence)}"

    async def read(
        self, *, stale: bool = False
    ) -> StoredLease | platform_api.Absent | platform_api.Unavailable:
        """Reads the lease; `stale` is passed to `ObjectStore.read`."""
        current = await self._objects.read(self._object_name, stale=stale)
        if not isinstance(current, platform_api.Found):
            return current
        try:
            record = serialization.from_json(current.body, LeaseRecord)
        except errors.ConfigurationError as error:
            logs.error(
                "lease_unreadable",
                lease=self._object_name,
                version=current.version,
                detail=str(error)[:_MAX_DETAIL_LENGTH],
            )
            record = _unreadable_record(current.version)
        return StoredLease(record, current.version)

    async def put(
        self, record: LeaseRecord, expected_version: int
    ) -> PutOutcome:
        """Writes the lease if the version matches; reads back when unsure."""
        outcome = await self._objects.write(
            self._object_name,
            serialization.to_json(record),
            expected_version,
        )
        match outcome:
            case platform_api.Written():
                return Stored(outcome.version)
            case platform_api.Unavailable():
                return NotWritten(outcome.detail)
            case platform_api.Conflict():
                return await self._read_back(record, None)
            case platform_api.Unknown():
                return await self._read_back(record, expected_version)

    async def _read_back(
        self, record: LeaseRecord, unchanged_version: int | None
    ) -> PutOutcome:
        detail = "the write may still be in progress"
        for _ in range(_READ_ATTEMPTS):
            current = await self.read()
            if isinstance(current, platform_api.Unavailable):
                detail = current.detail
                continue
            if isinstance(current, platform_api.Absent):
                if unchanged_version == platform_api.ABSENT_VERSION:
                    return Undecided(detail)
                return Replaced(None)
            if current.record.write_id == record.write_id:
                return Stored(current.version)
            if current.version == unchanged_version:
                return Undecided(detail)
            return Replaced(current)
        return Undecided(detail)


def _unreadable_record(version: int) -> LeaseRecord:
    """Returns what stands for a lease that another writer has overwritten.

    Its holder, who no longer can renew it, may act until the lease expires. A
    version is at least as high as the fencing numbers given out before it.
    """
    return LeaseRecord(
        "unreadable", 0, version, 0.0, "", era=store_era.era_of(version)
    )
