"""Header names and paths shared by daemons and backend servers."""

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
    """What a backend server says of its load.

    Attributes:
      running: requests running.
      waiting: requests waiting.
      started: tells two runs of the server apart.
    """

    running: int
    waiting: int
    started: int = 0

    def to_header(self) -> str:
        """Returns the report as the value of a header."""
        return f"{self.running};{self.waiting};{self.started}"


def parse_load(text: str) -> LoadReport | None:
    """Reads the value of a load header; None if malformed."""
    parts = text.split(";")
    if len(parts) != 3 or not all(part.isdigit() for part in parts):
        return None
    running, waiting, started = (int(part) for part in parts)
    return LoadReport(running, waiting, started)
