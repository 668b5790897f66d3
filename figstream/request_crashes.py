"""Refuses requests that crash backend servers again and again.

The blame table of a gateway, which the request path asks before each attempt.
Requests are identified by their fingerprint, run beside others, and are
refused from their third crash on if no complete answer came in between.
"""

from collections.abc import Mapping
from typing import Final

from figstream import blame_api
from figstream import correlated_crashes
from figstream import crash_evidence
from figstream import server_runs

# Number of crashes that refuse a request. Two may have another cause, as when a
# request and its retry both run beside the request that is to blame.
CRASH_LIMIT: Final = 3


class _CrashCount:
    """Refuses by the number of crashes; a `crash_evidence.Judge`."""

    def refused(
        self, records: Mapping[int, crash_evidence.SuspectRecord]
    ) -> frozenset[int]:
        """Returns the suspects with at least `CRASH_LIMIT` crashes."""
        return frozenset(
            suspect
            for suspect, record in records.items()
            if len(record.crashes) >= CRASH_LIMIT
        )


class RequestCrashes:
    """The crashes of requests, as one daemon knows them.

    Implements `blame_api.BlameTable`.

    Attributes:
      evidence: the evidence about fingerprints, which daemons exchange.
    """

    def __init__(self, evidence: crash_evidence.CrashEvidence) -> None:
        """Initializes a table without running requests."""
        self._running = server_runs.make_server_runs()
        self._crashes = correlated_crashes.CorrelatedCrashes()
        self.evidence = evidence

    def verdict(self, fingerprint: int, now: float) -> blame_api.Verdict:
        """Returns whether a request may run or is refused."""
        if self.evidence.refused((fingerprint,), now):
            return blame_api.Verdict.REFUSE
        return blame_api.Verdict.CLEAR

    def started(self, fingerprint: int, server: str, now: float) -> None:
        """Records that a request started on a server."""
        self._running.add(fingerprint, server)

    def ended(
        self,
        fingerprint: int,
        server: str,
        now: float,
        *,
        complete: bool = True,
    ) -> None:
        """Records the end of a request and whether its answer was complete."""
        if self._running.remove(fingerprint, server) and complete:
            self.evidence.add_sound([fingerprint], now)

    def crashed(self, server: str, now: float) -> None:
        """Blames the requests that ran on a server that crashed."""
        running = self._running.take(server)
        correlated = self._crashes.add(server, now)
        blamed = [
            item
            for item in running
            if not correlated or self.evidence.crash_count(item)
        ]
        self.evidence.add_crash(blamed, server, now)


def make_request_crashes() -> RequestCrashes:
    """Creates the blame table of a gateway."""
    return RequestCrashes(
        crash_evidence.make_crash_evidence("request", _CrashCount())
    )
