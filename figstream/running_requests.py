"""The requests of one daemon that run at backend servers.

The dispatcher adds each dispatched request; the scheduler removes the request
when the attempt ends.
"""

from collections.abc import Iterable

import attrs

from figstream import backend_server
from figstream import class_queue
from figstream import request_target
from figstream import scheduler_api


@attrs.define(eq=False)
class RunningRequest:
    """A request at a backend server.

    Attributes:
      request: the request.
      server: the backend server that runs the request.
      queue: the queue from which the request was dispatched.
      expected_tokens: expected number of prompt and output tokens.
      charged_cost: cost charged to the customer.
      started: time of the dispatch, in clock seconds.
      guaranteed: whether the request was dispatched in the guaranteed turn
        of its class.
      preempted: whether the cancellation of the request was requested.
    """

    request: scheduler_api.PendingRequest
    server: backend_server.BackendServer
    queue: class_queue.ClassQueue
    expected_tokens: float
    charged_cost: float
    started: float
    guaranteed: bool = False
    preempted: bool = False


class RunningRequests:
    """Running requests by id and by target."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._by_target: dict[
            request_target.Target, dict[str, RunningRequest]
        ] = {}

    def add(self, item: RunningRequest) -> None:
        """Adds a request that was dispatched."""
        running = self._by_target.setdefault(item.queue.target, {})
        running[item.request.request_id] = item

    def pop(
        self, request: scheduler_api.PendingRequest
    ) -> RunningRequest | None:
        """Removes a request that ended; returns None if it is unknown."""
        target = request_target.target_of(request)
        return self._by_target.get(target, {}).pop(request.request_id, None)

    def all(self) -> Iterable[RunningRequest]:
        """Returns all running requests."""
        groups = self._by_target.values()
        return (item for group in groups for item in group.values())

    def of_target(
        self, target: request_target.Target
    ) -> Iterable[RunningRequest]:
        """Returns the running requests of a target."""
        return self._by_target.get(target, {}).values()
