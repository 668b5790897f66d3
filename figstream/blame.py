"""Attributes crashes of backend servers to requests and refuses culprits.

The request path asks this table before each attempt and reports starts, ends
and crashes to it. Requests are identified by their fingerprint. When a server
crashes, all requests that ran on it become suspects. A suspect runs alone on
a server, one copy at a time. A complete answer clears it; a second crash
while it runs alone causes its refusal for `REFUSAL_S`, after which it is a
suspect again. If many servers crash together, only requests that are already
suspects are blamed.

Gateways, where servers restart within seconds and requests are many, use
`request_crashes` instead, since isolating a suspect costs more than a crash.

Daemons exchange blame entries with `digest` and `merge`. A daemon that has not
yet received an entry loses at most two servers to that request: one for the
crash and one for the isolated run.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import enum
import itertools
from typing import Final

import attrs

from figstream import blame_api
from figstream import correlated_crashes
from figstream import errors
from figstream import logs
from figstream import serialization
from figstream import server_runs

# Longer than any caller keeps retrying a request.
SUSPICION_S: Final = 600.0
# Long enough to repair the engine; afterwards the request is tried again.
REFUSAL_S: Final = 600.0
# An entry takes 100 bytes, so a full table takes half a megabyte.
ENTRY_LIMIT: Final = 4096
# Bounded by the size of a notice.
DIGEST_LIMIT: Final = 12
# Ages in seconds are rounded to milliseconds.
_AGE_DIGITS: Final = 3
# Source of the states that this daemon found itself.
_OWN: Final = "own"


class BlameState(enum.Enum):
    """How far a request is blamed for crashes."""

    CLEARED = "cleared"
    SUSPECT = "suspect"
    REFUSED = "refused"


@attrs.frozen
class BlameEntry:
    """The blame of one fingerprint, as daemons exchange it.

    Attributes:
      fingerprint: hash of the request.
      state: blame state of the request.
      age_s: seconds since the state was set.
    """

    fingerprint: int
    state: BlameState
    age_s: float


@attrs.frozen
class BlameDigest:
    """The payload of a blame notice."""

    entries: tuple[BlameEntry, ...]


@attrs.frozen
class _BlameRecord:
    """The blame state of a fingerprint, its time and whether it is our own."""

    state: BlameState
    since: float
    own: bool

    def at(self, now: float) -> BlameState:
        """Returns the state at a time, taking expiry into account."""
        age_s = now - self.since
        if self.state is BlameState.REFUSED:
            if age_s < REFUSAL_S:
                return BlameState.REFUSED
            age_s -= REFUSAL_S
        if self.state is BlameState.CLEARED or age_s >= SUSPICION_S:
            return BlameState.CLEARED
        return BlameState.SUSPECT


class CrashBlame:
    """The blame table of one daemon.

    Implements `blame_api.BlameTable` and `blame_spread.Findings`.
    """

    def __init__(self) -> None:
        """Initializes an empty table."""
        self._running = server_runs.make_server_runs()
        self._alone: dict[int, str] = {}
        self._records: collections.OrderedDict[int, _BlameRecord] = (
            collections.OrderedDict()
        )
        self._unpublished: dict[int, None] = {}
        self._crashes = correlated_crashes.CorrelatedCrashes()
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when there is an entry to publish."""
        self._listeners.append(listener)

    def verdict(self, fingerprint: int, now: float) -> blame_api.Verdict:
        """Returns whether a request may run, must run alone or is refused."""
        state = self._state(fingerprint, now)
        if state is BlameState.CLEARED:
            return blame_api.Verdict.CLEAR
        if state is BlameState.REFUSED or fingerprint in self._alone:
            return blame_api.Verdict.REFUSE
        return blame_api.Verdict.ALONE

    def started(self, fingerprint: int, server: str, now: float) -> None:
        """Records that a request started on a server."""
        running_count = self._running.add(fingerprint, server)
        suspect = self._state(fingerprint, now) is not BlameState.CLEARED
        if suspect and running_count == 1:
            self._alone[fingerprint] = server

    def ended(
        self,
        fingerprint: int,
        server: str,
        now: float,
        *,
        complete: bool = True,
    ) -> None:
        """Records the end of a request and whether its answer was complete."""
        if not self._running.remove(fingerprint, server):
            return
        if self._alone.get(fingerprint) != server:
            return
        del self._alone[fingerprint]
        if complete and self._state(fingerprint, now) is BlameState.SUSPECT:
            self._set_local_state(fingerprint, BlameState.CLEARED, now)

    def crashed(self, server: str, now: float) -> None:
        """Blames the requests that ran on a server that crashed."""
        running = self._running.take(server)
        correlated = self._crashes.add(server, now)
        for fingerprint in running:
            state = self._state(fingerprint, now)
            alone = self._alone.get(fingerprint) == server
            if alone:
                del self._alone[fingerprint]
            if state is BlameState.REFUSED:
                continue
            if alone and len(running) == 1:
                self._set_local_state(fingerprint, BlameState.REFUSED, now)
            elif state is BlameState.SUSPECT or not correlated:
                self._set_local_state(fingerprint, BlameState.SUSPECT, now)

    def digest(self, now: float) -> Sequence[BlameEntry]:
        """Returns at most `DIGEST_LIMIT` local entries not yet published."""
        published = list(itertools.islice(self._unpublished, DIGEST_LIMIT))
        for fingerprint in published:
            del self._unpublished[fingerprint]
        current = {item: self._records.get(item) for item in published}
        return [
            BlameEntry(
                fingerprint,
                record.state,
                round(now - record.since, _AGE_DIGITS),
            )
            for fingerprint, record in current.items()
            if record is not None
        ]

    def take_payload(self, now: float) -> bytes:
        """Returns a digest as JSON, b"" if there is nothing to publish."""
        entries = tuple(self.digest(now))
        return serialization.to_json(BlameDigest(entries)) if entries else b""

    def repeat(self, now: float) -> None:
        """Publishes own refusals again, for daemons that started since."""
        for fingerprint, record in self._records.items():
            if record.own and record.at(now) is BlameState.REFUSED:
                self._publish(fingerprint)

    def apply_payload(self, payload: bytes, now: float) -> None:
        """Applies a digest of another daemon."""
        try:
            digest = serialization.from_json(payload, BlameDigest)
        except errors.ConfigurationError as error:
            logs.warning("blame_notice_malformed", detail=str(error))
            return
        self.merge(digest.entries, now)

    def merge(self, entries: Sequence[BlameEntry], now: float) -> None:
        """Applies entries of another daemon; the latest state wins.

        An unexpired refusal is not lifted by a suspicion or clearance that
        another daemon reports.
        """
        for entry in entries[:DIGEST_LIMIT]:
            since = now - max(0.0, entry.age_s)
            current = self._records.get(entry.fingerprint)
            if current is None or self._supersedes(entry, since, current, now):
                self._store_state(
                    entry.fingerprint, entry.state, since, source="peer"
                )

    def _supersedes(
        self, entry: BlameEntry, since: float, current: _BlameRecord, now: float
    ) -> bool:
        if entry.state is current.state:
            return False
        if current.at(now) is BlameState.REFUSED:
            return False
        return entry.state is BlameState.REFUSED or since > current.since

    def _state(self, fingerprint: int, now: float) -> BlameState:
        current = self._records.get(fingerprint)
        return current.at(now) if current else BlameState.CLEARED

    def _set_local_state(
        self, fingerprint: int, state: BlameState, now: float
    ) -> None:
        self._store_state(fingerprint, state, now, source=_OWN)
        self._publish(fingerprint)

    def _publish(self, fingerprint: int) -> None:
        self._unpublished[fingerprint] = None
        for listener in self._listeners:
            listener()

    def _store_state(
        self, fingerprint: int, state: BlameState, since: float, *, source: str
    ) -> None:
        logs.info(
            "blame_changed",
            fingerprint=f"{fingerprint:x}",
            state=state.value,
            source=source,
        )
        own = source == _OWN
        self._records[fingerprint] = _BlameRecord(state, since, own)
        self._records.move_to_end(fingerprint)
        if len(self._records) > ENTRY_LIMIT:
            evicted, _ = self._records.popitem(last=False)
            self._unpublished.pop(evicted, None)


def make_crash_blame() -> CrashBlame:
    """Creates the blame table of a daemon."""
    return CrashBlame()
