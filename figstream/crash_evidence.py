"""Collects the crashes of backend servers for which suspects may be to blame.

A suspect is something that requests have in common, identified by a hash. The
evidence against it is the set of crashes during which it ran. Daemons exchange
what they saw, and the sets are united, so that crashes count however many
daemons see them at the same time and in whatever order they hear of them. A
complete answer shows that the suspect is sound, and earlier crashes no longer
count. A judge decides from the sets which suspects are refused.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Final
from typing import Protocol

import attrs
import xxhash

from figstream import errors
from figstream import logs
from figstream import serialization

# An operator can repair the engine within this time.
REFUSAL_S: Final = 600.0
# One more crash within this time after a refusal refuses the suspect again.
_RETENTION_S: Final = 2.0 * REFUSAL_S
# A server that crashed takes longer than this to start again, so reports of
# one server within this time are about one crash.
MIN_RESTART_S: Final = 2.0
# Number of suspects. One takes 0.4 KB with one crash and 2.3 KB with the most,
# so all of them take ten megabytes at most.
SUSPECT_LIMIT: Final = 4096
# Removed at once when the limit is exceeded.
_EVICTED: Final = SUSPECT_LIMIT // 4
# Number of the newest crashes kept, more than any judge needs.
CRASHES_PER_SUSPECT: Final = 16
# Number of hashes that fit into a notice of 1,024 bytes.
SUSPECTS_PER_FINDING: Final = 40
# Number of findings that wait to be published, as after the loss of a zone;
# beyond it the oldest are dropped.
_FINDING_LIMIT: Final = 256
# Ages in seconds are rounded to milliseconds.
_AGE_DIGITS: Final = 3


@attrs.frozen
class Finding:
    """What one daemon saw of some suspects at one time.

    Attributes:
      suspects: hashes of the suspects, in the order of the prompt if they are
        parts of one.
      server: hash of the name of the server that crashed, 0 if the suspects
        got complete answers instead.
      age_s: seconds since then.
    """

    suspects: tuple[int, ...]
    server: int
    age_s: float


@attrs.frozen
class Crash:
    """A crash: hash of the server, clock time, and whether it was seen here."""

    server: int
    at: float
    own: bool

    def is_same(self, other: "Crash") -> bool:
        """Returns whether two daemons reported one crash."""
        if self.server != other.server:
            return False
        return abs(self.at - other.at) < MIN_RESTART_S


@attrs.define
class SuspectRecord:
    """The evidence about a suspect.

    Attributes:
      crashes: the crashes that count, oldest first.
      sound_at: clock time of the last complete answer, -inf if none is known.
      depth: largest position among the suspects of a finding.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    sound_at: float = -math.inf
    depth: int = 0


@attrs.frozen
class Refused:
    """A suspect, and for how many seconds it is refused."""

    suspect: int
    seconds: float


class Judge(Protocol):
    """Decides which suspects are refused."""

    def refused(self, records: Mapping[int, SuspectRecord]) -> frozenset[int]:
        """Returns the suspects to refuse."""


class KnownSoundness(Protocol):
    """Knows which suspects got complete answers before they were suspects."""

    def sound_at(self, suspect: int) -> float:
        """Returns the clock time of the last complete answer, -inf if none."""


class CrashEvidence:
    """The evidence about the suspects of one kind, as one daemon knows it.

    Implements `blame_spread.Findings`.
    """

    def __init__(
        self,
        kind: str,
        judge: Judge,
        known: KnownSoundness | None = None,
    ) -> None:
        """Initializes without suspects.

        Args:
          kind: what the suspects are, for log lines.
          judge: decides which suspects are refused.
          known: what is known about something when it becomes a suspect.
        """
        self._kind = kind
        self._judge = judge
        self._known = known
        self._records: dict[int, SuspectRecord] = {}
        self._refused: frozenset[int] = frozenset()
        self._unpublished: collections.deque[tuple[Finding, float]] = (
            collections.deque(maxlen=_FINDING_LIMIT)
        )
        self._unpublished_sound: dict[int, float] = {}
        self._listeners: list[Callable[[], None]] = []

    def __len__(self) -> int:
        """Returns the number of suspects."""
        return len(self._records)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when there is a finding to publish."""
        self._listeners.append(listener)

    def crash_count(self, suspect: int) -> int:
        """Returns how many crashes count against a suspect."""
        record = self._records.get(suspect)
        return len(record.crashes) if record else 0

    def last_crash_at(self, suspect: int) -> float:
        """Returns the time of the last crash that counts, -inf if none."""
        record = self._records.get(suspect)
        return record.crashes[-1].at if record and record.crashes else -math.inf

    def refused(self, suspects: Collection[int], now: float) -> Refused | None:
        """Returns which suspect of one request is refused for longest, if any.

        Args:
          suspects: the suspects that the request has.
          now: clock seconds.
        """
        refused = (
            Refused(item, self._refused_s(item, now))
            for item in self._refused.intersection(suspects)
        )
        return max(
            (item for item in refused if item.seconds > 0),
            key=lambda item: item.seconds,
            default=None,
        )

    def add_crash(
        self, suspects: Iterable[int], server: str, now: float
    ) -> None:
        """Records that a server crashed during runs of the suspects."""
        server_hash = xxhash.xxh3_64_intdigest(server.encode())
        added = self._add(suspects, Crash(server_hash, now, own=True), now)
        for start in range(0, len(added), SUSPECTS_PER_FINDING):
            part = tuple(added[start : start + SUSPECTS_PER_FINDING])
            self._publish(Finding(part, server_hash, 0.0), now)

    def add_sound(self, suspects: Iterable[int], now: float) -> None:
        """Records a complete answer, which clears its suspects."""
        suspected = [item for item in suspects if self.crash_count(item)]
        if suspected:
            self._clear(suspected, now, source="own")
            self._publish_sound(suspected, now)

    def repeat(self, now: float) -> None:
        """Publishes again why suspects are refused.

        Daemons that started since then have not heard of it. Each daemon
        repeats only what it has seen itself.
        """
        for suspect in self._refused:
            if self._refused_s(suspect, now) > 0:
                for crash in self._records[suspect].crashes:
                    if crash.own:
                        finding = Finding((suspect,), crash.server, 0.0)
                        self._publish(finding, crash.at)

    def take_payload(self, now: float) -> bytes:
        """Returns a finding that is not yet published, b"" if there is none."""
        if self._unpublished:
            finding, at = self._unpublished.popleft()
        elif sound := self._take_sound():
            at = min(sound.values())
            finding = Finding(tuple(sound), 0, 0.0)
        else:
            return b""
        age_s = round(now - at, _AGE_DIGITS)
        return serialization.to_json(attrs.evolve(finding, age_s=age_s))

    def apply_payload(self, payload: bytes, now: float) -> None:
        """Adds the finding of another daemon."""
        try:
            finding = serialization.from_json(payload, Finding)
        except errors.ConfigurationError as error:
            logs.warning("crash_finding_unreadable", detail=str(error))
            return
        at = now - max(0.0, finding.age_s)
        suspects = finding.suspects[:SUSPECTS_PER_FINDING]
        if finding.server:
            self._add(suspects, Crash(finding.server, at, own=False), now)
        else:
            self._clear(suspects, at, source="peer")

    def _add(
        self, suspects: Iterable[int], crash: Crash, now: float
    ) -> Sequence[int]:
        """Adds a crash; returns the suspects if any of them lacked it."""
        suspects = tuple(suspects)
        self._add_records(suspects)
        added = [
            self._add_to(suspect, depth, crash, now)
            for depth, suspect in enumerate(suspects)
        ]
        self._make_room()
        self._judge_again(source="own" if crash.own else "peer")
        return suspects if any(added) else ()

    def _add_to(
        self, suspect: int, depth: int, crash: Crash, now: float
    ) -> bool:
        record = self._records[suspect]
        record.depth = max(record.depth, depth)
        record.crashes = [
            item for item in record.crashes if now - item.at < _RETENTION_S
        ]
        known = any(crash.is_same(item) for item in record.crashes)
        if known or crash.at <= record.sound_at:
            return False
        record.crashes.append(crash)
        record.crashes.sort(key=lambda item: item.at)
        del record.crashes[:-CRASHES_PER_SUSPECT]
        return True

    def _add_records(self, suspects: Iterable[int]) -> None:
        """Adds new suspects, and tells others which are known to be sound."""
        sound: dict[int, float] = {}
        for suspect in suspects:
            if suspect in self._records:
                continue
            record = self._records[suspect] = SuspectRecord()
            if self._known:
                record.sound_at = self._known.sound_at(suspect)
            if math.isfinite(record.sound_at):
                sound[suspect] = record.sound_at
        if sound:
            finding = Finding(tuple(sound)[:SUSPECTS_PER_FINDING], 0, 0.0)
            self._publish(finding, min(sound.values()))

    def _clear(
        self, suspects: Iterable[int], at: float, *, source: str
    ) -> None:
        for suspect in suspects:
            record = self._records.get(suspect)
            if record and at > record.sound_at:
                record.sound_at = at
                record.crashes = [x for x in record.crashes if x.at > at]
        self._judge_again(source=source)

    def _judge_again(self, *, source: str) -> None:
        """Updates which suspects are refused, and logs the changes."""
        refused = self._judge.refused(self._records)
        changes = (
            ("suspect_refused", refused - self._refused),
            ("suspect_cleared", self._refused - refused),
        )
        self._refused = refused
        for event, suspects in changes:
            for suspect in suspects:
                logs.info(
                    event,
                    kind=self._kind,
                    suspect=f"{suspect:x}",
                    crashes=self.crash_count(suspect),
                    source=source,
                )

    def _refused_s(self, suspect: int, now: float) -> float:
        return self.last_crash_at(suspect) + REFUSAL_S - now

    def _make_room(self) -> None:
        """Removes the suspects with the least and oldest evidence."""
        if len(self._records) <= SUSPECT_LIMIT:
            return

        def weight(suspect: int) -> tuple[int, float]:
            crashes = self._records[suspect].crashes
            return len(crashes), crashes[-1].at if crashes else 0.0

        for suspect in sorted(self._records, key=weight)[:_EVICTED]:
            del self._records[suspect]

    def _take_sound(self) -> Mapping[int, float]:
        """Removes and returns suspects whose soundness is not yet published.

        Leaves out those for which another daemon has published a later time.
        """
        sound: dict[int, float] = {}
        while self._unpublished_sound and len(sound) < SUSPECTS_PER_FINDING:
            suspect, at = self._unpublished_sound.popitem()
            record = self._records.get(suspect)
            if record and record.sound_at <= at:
                sound[suspect] = at
        return sound

    def _publish(self, finding: Finding, at: float) -> None:
        if len(self._unpublished) == _FINDING_LIMIT:
            logs.warning("crash_finding_dropped", kind=self._kind)
        self._unpublished.append((finding, at))
        self._notify()

    def _publish_sound(self, suspects: Iterable[int], at: float) -> None:
        self._unpublished_sound.update(dict.fromkeys(suspects, at))
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def make_crash_evidence(
    kind: str, judge: Judge, known: KnownSoundness | None = None
) -> CrashEvidence:
    """Creates the evidence of one daemon about suspects of one kind."""
    return CrashEvidence(kind, judge, known)
