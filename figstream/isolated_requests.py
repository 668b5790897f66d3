"""Waiting requests that must run without others on their backend server.

A crash suspect runs isolated from the daemon's other requests, so that a
further crash is attributed to the suspect and harms no other request. A server
is reserved for the suspect and gets no new requests; the dispatcher uses the
server once this daemon's requests there have ended.
"""

from collections.abc import Sequence

from figstream import backend_server
from figstream import request_target
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool


class IsolatedRequests:
    """Waiting requests that must run alone on a server."""

    def __init__(self, book: server_load.LoadBook) -> None:
        """Creates an empty collection that reserves servers in `book`."""
        self._book = book
        self._waiting: dict[
            str, tuple[scheduler_api.PendingRequest, request_target.Target]
        ] = {}
        self._reserved: dict[str, str] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def add(
        self,
        request: scheduler_api.PendingRequest,
        target: request_target.Target,
    ) -> None:
        """Adds a request that must run alone."""
        self._waiting[request.request_id] = (request, target)

    def waiting(
        self,
    ) -> Sequence[tuple[scheduler_api.PendingRequest, request_target.Target]]:
        """Returns the waiting requests, oldest first."""
        return list(self._waiting.values())

    def overdue(self, now: float) -> Sequence[scheduler_api.PendingRequest]:
        """Removes and returns the requests whose deadline has passed."""
        removed = [
            request
            for request, _ in self._waiting.values()
            if request.deadline <= now
        ]
        for request in removed:
            self.remove(request)
        return removed

    def remove(
        self,
        request: scheduler_api.PendingRequest,
        keep_reserved: bool = False,
    ) -> bool:
        """Removes a request; returns whether the request was waiting."""
        removed = self._waiting.pop(request.request_id, None)
        server = self._reserved.pop(request.request_id, "")
        if server and not keep_reserved:
            self._book.state(server).reserved_for = ""
        return removed is not None

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        now: float,
    ) -> backend_server.BackendServer | None:
        """Returns the reserved server once it is idle, otherwise None.

        Reserves a server if the request has no usable reservation.
        """
        paused = self._book.paused(now)
        reserved = self._reserved.get(request.request_id, "")
        if reserved not in pool.names - paused:
            reserved = self._reserve(request, pool, paused)
        if not reserved or self._book.state(reserved).own_requests:
            return None
        return next(
            item
            for group in pool.groups
            for item in group.servers
            if item.name == reserved
        )

    def _reserve(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        paused: frozenset[str],
    ) -> str:
        previous = self._reserved.pop(request.request_id, "")
        if previous:
            self._book.state(previous).reserved_for = ""
        free = [
            item.name
            for group in pool.groups
            for item in group.servers
            if not self._book.state(item.name).reserved_for
            and item.name not in request.tried
            and item.name not in paused
        ]
        if not free:
            return ""
        chosen = min(free, key=lambda name: self._book.state(name).own_requests)
        self._book.state(chosen).reserved_for = request.request_id
        self._reserved[request.request_id] = chosen
        return chosen
