"""Finds the part of prompts that crashes backend servers, and refuses it.

The request path asks this table before each attempt. It serves loads in which
requests with one part in common crash each server that begins to answer them,
while no two requests are alike and sound ones share everything but that part.
The part is not known beforehand, so all shared parts of a lost request are
suspects:

- A complete answer shows that all parts of its prompt are sound.
- A crash counts for all parts that ran on the server.
- The part that ran in every crash explains the crashes of the others.
- Parts that got complete answers before are blamed last and need more crashes.
  For them, servers that crash together count once, since a rack or zone may
  have failed.

A part may be refused by mistake, as when all servers fail for another reason.
One daemon therefore lets a request with it through as a trial, at growing
intervals. A new part that ran in almost the same crashes may be the one at
fault instead. The first trial comes soon for a request without that rival,
since it tells the two apart; `trial_demand` chooses among such requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Final

import attrs

from figstream import bounded_records
from figstream import crash_evidence
from figstream import logs
from figstream import trial_demand

# Number of crashes from which on a part is refused that never got a complete
# answer: one more than two unrelated crashes that it may have been near.
NEW_PART_LIMIT: Final = 3
# The same for other parts, where joint crashes count once. Higher, since their
# refusal affects callers that were served before.
SOUND_PART_LIMIT: Final = 5
# The servers of a rack or zone that fails close their connections within this
# time.
JOINT_CRASHES_S: Final = 0.25
# Long enough for servers to start again after they all failed. Each further
# trial takes twice as long to come, since it may cost a server.
FIRST_TRIAL_S: Final = 30.0
# The same for a request that tells parts apart: time for its answer.
FIRST_TELLING_TRIAL_S: Final = 1.0
# A part at fault may lack this many crashes of a part that came with it, which
# also ran on a server that crashed for another reason.
_OTHER_CRASHES: Final = 1
# A daemon that has just started may not have heard of all crashes.
_SETTLING_S: Final = 1.0
# Number of parts; an entry takes 80 bytes.
KNOWN_PART_LIMIT: Final = 4096


class AnsweredParts:
    """When the parts of prompts last got a complete answer from this daemon.

    Implements `crash_evidence.KnownSoundness`.
    """

    def __init__(self) -> None:
        """Initializes without parts."""
        self._answered_at: dict[int, float] = {}

    def add(self, parts: Iterable[int], now: float) -> None:
        """Records a complete answer to a prompt with these parts."""
        for part in parts:
            bounded_records.put(self._answered_at, part, now, KNOWN_PART_LIMIT)

    def sound_at(self, suspect: int) -> float:
        """Returns the time of the last complete answer, -inf if unknown."""
        return self._answered_at.get(suspect, -math.inf)


class PromptJudge:
    """Blames the parts that explain the crashes; a `crash_evidence.Judge`.

    The result depends on the evidence only, so daemons that know the same
    refuse the same parts.
    """

    def __init__(self) -> None:
        """Initializes without refused parts."""
        self._candidates: dict[int, crash_evidence.SuspectRecord] = {}
        self._rivals: dict[int, frozenset[int]] = {}

    def rivals(self, part: int) -> frozenset[int]:
        """Returns the new parts that are likeliest at fault instead of one.

        Args:
          part: a refused part.
        """
        if part not in self._rivals:
            self._rivals[part] = _likeliest_rivals(part, self._candidates)
        return self._rivals[part]

    def refused(
        self, records: Mapping[int, crash_evidence.SuspectRecord]
    ) -> frozenset[int]:
        """Returns the parts to refuse, which leave few crashes unexplained."""
        candidates = [
            (suspect, record)
            for suspect, record in records.items()
            if len(record.crashes) >= NEW_PART_LIMIT
        ]
        candidates.sort(key=lambda item: _order(*item))
        refused: set[int] = set()
        explained: dict[int, list[crash_evidence.Crash]] = {}
        self._candidates = dict(candidates)
        self._rivals = {}
        for suspect, record in candidates:
            unexplained = [
                crash
                for crash in record.crashes
                if not any(map(crash.is_same, explained.get(crash.server, ())))
            ]
            if _counted(record, unexplained) >= _limit(record):
                refused.add(suspect)
                for crash in record.crashes:
                    explained.setdefault(crash.server, []).append(crash)
        return frozenset(refused)


@attrs.frozen
class _Trial:
    """The last trial of a part.

    Attributes:
      request_id: the request let through, empty once it has crashed a server
        or ended without running.
      at: time of the trial or of its end.
      number: how many trials ran.
    """

    request_id: str
    at: float
    number: int


class PromptCrashes:
    """The parts of prompts that crash servers, as one daemon knows them.

    Implements `blame_api.PromptTable`.

    Attributes:
      evidence: the evidence about parts, which daemons exchange.
    """

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        judge: PromptJudge,
        answered: AnsweredParts,
        makes_trials: Callable[[], bool],
    ) -> None:
        """Initializes the table.

        Args:
          evidence: the evidence about parts.
          judge: the judge of the evidence.
          answered: knows the parts that got complete answers here.
          makes_trials: returns whether this daemon is the one that tries
            refused parts again.
        """
        self.evidence = evidence
        self._judge = judge
        self._answered = answered
        self._makes_trials = makes_trials
        self._trials: dict[int, _Trial] = {}
        self._demand = trial_demand.TrialDemand()
        self._settles_at = math.inf

    def refused(
        self, parts: Sequence[int], request_id: str, now: float
    ) -> crash_evidence.Refused | None:
        """Returns for which part a prompt is refused, None if it may run."""
        if math.isinf(self._settles_at):
            self._settles_at = now + _SETTLING_S
        refused = self.evidence.refused(parts, now)
        if refused is None:
            return None
        trial = self._trials.get(refused.suspect)
        if trial and trial.request_id == request_id:
            return None
        tells_apart = self._tells_apart(refused.suspect, parts)
        trial_at = self._next_trial_at(
            refused.suspect, trial, tells_apart=tells_apart
        )
        if trial_at > now:
            seconds = min(refused.seconds, trial_at - now)
            return attrs.evolve(refused, seconds=seconds)
        if not self._makes_trials():
            seconds = min(
                refused.seconds, _first_trial_s(tells_apart=tells_apart)
            )
            return attrs.evolve(refused, seconds=seconds)
        logs.info(
            "prompt_trial",
            part=f"{refused.suspect:x}",
            request=request_id,
            crashes=self.evidence.crash_count(refused.suspect),
            tells_apart=tells_apart,
        )
        self._begin_trial(refused.suspect, trial, request_id, now)
        return None

    def answered(self, parts: Sequence[int], now: float) -> None:
        """Records a complete answer to a prompt."""
        self._answered.add(parts, now)
        self.evidence.add_sound(parts, now)

    def crashed(self, parts: Sequence[int], server: str, now: float) -> None:
        """Records that a server crashed while it ran a prompt."""
        for part in self._trials.keys() & set(parts):
            number = self._trials[part].number
            self._trials[part] = _Trial("", now, number)
        self.evidence.add_crash(parts, server, now)

    def not_run(
        self, parts: Sequence[int], request_id: str, now: float
    ) -> None:
        """Records that a request ended before a server ran it.

        A trial that no server ran does not lengthen the wait for the next.
        """
        for part in self._trials.keys() & set(parts):
            trial = self._trials[part]
            if trial.request_id == request_id:
                self._trials[part] = _Trial("", now, trial.number - 1)

    def _tells_apart(self, part: int, parts: Sequence[int]) -> bool:
        """Returns whether an early trial of a prompt is worth its risk."""
        rivals = self._judge.rivals(part)
        lacking = rivals.difference(parts)
        return bool(lacking) and self._demand.add(part, rivals, lacking)

    def _begin_trial(
        self, part: int, last: _Trial | None, request_id: str, now: float
    ) -> None:
        trial = _Trial(request_id, now, last.number + 1 if last else 1)
        bounded_records.put(self._trials, part, trial, KNOWN_PART_LIMIT)

    def _next_trial_at(
        self, part: int, trial: _Trial | None, *, tells_apart: bool
    ) -> float:
        """Returns the time of the next trial of a part."""
        first_s = _first_trial_s(tells_apart=tells_apart)
        last_at = self.evidence.last_crash_at(part)
        at = last_at + first_s
        if trial:
            at = max(last_at, trial.at) + first_s * 2.0**trial.number
        return max(at, self._settles_at) if tells_apart else at


def make_prompt_crashes(makes_trials: Callable[[], bool]) -> PromptCrashes:
    """Creates the table of a daemon that knows of no crash yet."""
    answered, judge = AnsweredParts(), PromptJudge()
    evidence = crash_evidence.make_crash_evidence(
        "prompt_part", judge, answered
    )
    return PromptCrashes(evidence, judge, answered, makes_trials)


def _first_trial_s(*, tells_apart: bool) -> float:
    return FIRST_TELLING_TRIAL_S if tells_apart else FIRST_TRIAL_S


def _order(
    suspect: int, record: crash_evidence.SuspectRecord
) -> tuple[bool, int, int, int]:
    """Returns the sort key by which parts are blamed, the likeliest first."""
    was_sound = math.isfinite(record.sound_at)
    return was_sound, -len(record.crashes), -record.depth, suspect


def _limit(record: crash_evidence.SuspectRecord) -> int:
    if math.isfinite(record.sound_at):
        return SOUND_PART_LIMIT
    return NEW_PART_LIMIT


def _likeliest_rivals(
    part: int, candidates: Mapping[int, crash_evidence.SuspectRecord]
) -> frozenset[int]:
    """Returns the new parts that ran in most crashes of another new part."""
    record = candidates[part]
    if math.isfinite(record.sound_at):
        return frozenset()
    shared = {
        other: _shared_crashes(record, other_record)
        for other, other_record in candidates.items()
        if other != part and not math.isfinite(other_record.sound_at)
    }
    least = len(record.crashes) - _OTHER_CRASHES
    most = max(shared.values(), default=0)
    return frozenset(
        other
        for other, count in shared.items()
        if count == most and count >= least
    )


def _shared_crashes(
    record: crash_evidence.SuspectRecord, other: crash_evidence.SuspectRecord
) -> int:
    """Returns in how many crashes of a part another part ran too."""
    return sum(any(map(x.is_same, other.crashes)) for x in record.crashes)


def _counted(
    record: crash_evidence.SuspectRecord,
    crashes: Sequence[crash_evidence.Crash],
) -> int:
    """Returns how many of the crashes, oldest first, count against a part."""
    if not math.isfinite(record.sound_at):
        return len(crashes)
    count, last_at = 0, -math.inf
    for crash in crashes:
        if crash.at - last_at > JOINT_CRASHES_S:
            count += 1
            last_at = crash.at
    return count
