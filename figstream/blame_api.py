"""The interface between the request path and crash blame."""

import enum
from typing import Protocol


class Verdict(enum.Enum):
    """What to do with a request."""

    CLEAR = "clear"
    ALONE = "alone"
    REFUSE = "refuse"


class BlameTable(Protocol):
    """Which requests are suspected of crashing backend servers."""

    def started(self, fingerprint: int, server: str, now: float) -> None:
        """Notes that a request runs on a server."""

    def ended(
        self, fingerprint: int, server: str, now: float, *, whole: bool = True
    ) -> None:
        """Notes that a request ended, and whether with a whole answer."""

    def crashed(self, server: str, now: float) -> None:
        """Blames the requests that ran on a server that died."""

    def verdict(self, fingerprint: int, now: float) -> Verdict:
        """Tells what to do with a request."""
