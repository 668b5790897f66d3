"""Records of decisions, kept in a bounded ring for operators to read."""

import collections
from collections.abc import Sequence
import itertools
from typing import Final

import attrs

# Records; about two megabytes.
DEFAULT_CAPACITY: Final = 4096
# Stands between the caller's id and what makes the request's id unique.
CALLER_ID_END: Final = "~"


@attrs.frozen
class DecisionRecord:
    """One decision about one request.

    Attributes:
      at: Unix time in seconds.
      request_id: the request.
      customer: its customer, or "".
      request_class: its class, or "".
      decision: "queued", "dispatched", "retried", "refused" and so on.
      reason: name of the reason, or "".
      server: backend server concerned, or "".
      detail: figures that led to the decision.
    """

    at: float
    request_id: str
    customer: str
    request_class: str
    decision: str
    reason: str = ""
    server: str = ""
    detail: str = ""


class DecisionLog:
    """A ring of the latest decisions of one daemon."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Keeps at most the given number of records."""
        self._records: collections.deque[DecisionRecord] = collections.deque(
            maxlen=capacity
        )

    def add(self, record: DecisionRecord) -> None:
        """Adds a record; the oldest one makes room."""
        self._records.append(record)

    def of_request(self, request_id: str) -> Sequence[DecisionRecord]:
        """Returns the records of a request, oldest first.

        Args:
          request_id: its unique id, or the id that its caller sent.
        """
        own = request_id + CALLER_ID_END
        return [
            item
            for item in self._records
            if item.request_id == request_id or item.request_id.startswith(own)
        ]

    def latest(self, count: int) -> Sequence[DecisionRecord]:
        """Returns the latest records, newest first."""
        return list(itertools.islice(reversed(self._records), count))
