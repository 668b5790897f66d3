"""The requests of one daemon that run at backend servers."""

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
      server: where it runs.
      queue: the queue it came from.
      expected_tokens: prompt and output tokens expected.
      charged: cost charged to its customer.
      started: when it was dispatched.
      guaranteed: whether it got the guaranteed turn of its class.
      preempted: whether its cancelling was asked for.
    """

    request: scheduler_api.PendingRequest
    server: backend_server.BackendServer
    queue: class_queue.ClassQueue
    expected_tokens: float
    charged: float
    started: float
    guaranteed: bool = False
    preempted: bool = False


class RunningRequests:
    """Running requests by id and by target."""

    def __init__(self) -> None:
        """Starts with nothing running."""
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
        """Removes a request that ended; returns None if it is not known."""
        target = request_target.target_of(request)
        return self._by_target.get(target, {}).pop(request.request_id, None)

    def all(self) -> Iterable[RunningRequest]:
        """Returns everything that runs."""
        groups = self._by_target.values()
        return (item for group in groups for item in group.values())

    def of_target(
        self, target: request_target.Target
    ) -> Iterable[RunningRequest]:
        """Returns what runs for a target."""
        return self._by_target.get(target, {}).values()
