"""The interface between the request path and the attribution of crashes."""

from collections.abc import Sequence
import enum
from typing import Protocol

from figstream import crash_evidence


class Verdict(enum.Enum):
    """Whether a request may run, must run alone on a server, or is refused."""

    CLEAR = "clear"
    ALONE = "alone"
    REFUSE = "refuse"


class BlameTable(Protocol):
    """The requests that are suspected of crashing backend servers."""

    def started(self, fingerprint: int, server: str, now: float) -> None:
        """Records that a request started on a server."""

    def ended(
        self,
        fingerprint: int,
        server: str,
        now: float,
        *,
        complete: bool = True,
    ) -> None:
        """Records the end of a request and whether its answer was complete."""

    def crashed(self, server: str, now: float) -> None:
        """Blames the requests that ran on a server that crashed."""

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Returns whether a request may run, must run alone or is refused."""


class PromptTable(Protocol):
    """The parts of prompts that are suspected of crashing backend servers."""

    def refused(
        self, parts: Sequence[int], request_id: str, now: float
    ) -> crash_evidence.Refused | None:
        """Returns for which part a prompt is refused, None if it may run.

        Args:
          parts: hashes of the parts that other prompts may share.
          request_id: the request, which may be let through as a trial.
          now: clock seconds.
        """

    def answered(self, parts: Sequence[int], now: float) -> None:
        """Records a complete answer to a prompt."""

    def crashed(self, parts: Sequence[int], server: str, now: float) -> None:
        """Records that a server crashed while it ran a prompt."""

    def not_run(
        self, parts: Sequence[int], request_id: str, now: float
    ) -> None:
        """Records that a request ended before a server ran it."""
