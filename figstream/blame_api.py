"""The interface between the request path and the attribution of crashes."""

import enum
from typing import Protocol


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
