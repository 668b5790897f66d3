"""Stores recent decisions about requests for `figstream operator explain`.

The request path adds a record for each step of a request; the ring buffer
drops the oldest ones.
"""

import collections
from collections.abc import Sequence
import itertools
from typing import Final

import attrs

# Records; they take about two megabytes.
DEFAULT_CAPACITY_RECORDS: Final = 4096
# Separates the caller's id from the suffix that makes a request id unique.
CALLER_ID_SEPARATOR: Final = "~"


@attrs.frozen
class DecisionRecord:
    """One decision about one request.

    Attributes:
      at: Unix time in seconds.
      request_id: unique id of the request.
      customer: customer of the request, or "".
      request_class: class of the request, or "".
      decision: "queued", "dispatched", "retried", "refused" and so on.
      reason: name of the reason, or "".
      server: backend server concerned, or "".
      detail: values that the decision was based on.
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
    """A ring buffer of the latest decisions of one daemon."""

    def __init__(self, capacity: int = DEFAULT_CAPACITY_RECORDS) -> None:
        """Initializes the log for at most `capacity` records."""
        self._records: collections.deque[DecisionRecord] = collections.deque(
            maxlen=capacity
        )

    def add(self, record: DecisionRecord) -> None:
        """Adds a record and drops the oldest one if the log is full."""
        self._records.append(record)

    def of_request(self, request_id: str) -> Sequence[DecisionRecord]:
        """Returns the records of a request, oldest first.

        Args:
          request_id: unique id of the request, or the id that its caller sent.
        """
        id_prefix = request_id + CALLER_ID_SEPARATOR
        return [
            item
            for item in self._records
            if item.request_id == request_id
            or item.request_id.startswith(id_prefix)
        ]

    def latest(self, count: int) -> Sequence[DecisionRecord]:
        """Returns the latest records, newest first."""
        return list(itertools.islice(reversed(self._records), count))
