"""Header names, paths and the load report of the engine protocol.

Daemons use them to send requests to model engines and to read their answers.
"""

from typing import Final

import attrs

ID_HEADER: Final = "x-request-id"
LOAD_HEADER: Final = "x-load"
NOT_RUN_HEADER: Final = "x-not-run"
RESUME_HEADER: Final = "x-resume-events"
TIER_HEADER: Final = "x-priority"
LOAD_PATH: Final = "/load"
CANCEL_PATH: Final = "/v1/requests/"
TERMINATOR: Final = b"data: [DONE]\n\n"
EVENT_END: Final = b"\n\n"


@attrs.frozen
class LoadReport:
    """The load that a backend server reports.

    Attributes:
      running: number of requests that run.
      waiting: number of requests that wait at the server.
      started: number that changes when the server restarts.
      slowdown: how long work takes at the server at this moment, 1 for as
        long as usual.
    """

    running: int
    waiting: int
    started: int = 0
    slowdown: float = 1.0

    def to_header(self) -> str:
        """Returns the report as the value of a header."""
        return f"{self.running};{self.waiting};{self.started}"


def parse_load(text: str) -> LoadReport | None:
    """Returns the report in a load header, or None if it is malformed."""
    parts = text.split(";")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    running, waiting, started = (int(part) for part in parts)
    return LoadReport(running, waiting, started)
