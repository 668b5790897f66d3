"""Keeps backend servers from refusing more requests than they can.

A server may announce that it crashes if it must refuse more than so many
requests in a second because it is full. It may then also queue fewer. The
daemons divide its slots by their rank, and each runs no more requests there
than its part; the others wait in the daemon's own queue. Load reports are too
old for that: all daemons would use the same free slot. The slots of a service
are numbered in the order of the names of its servers, so that the parts of all
daemons are equal over the servers. Where a server has fewer slots than there
are daemons, the parts rotate on the wall clock. After a refusal, a daemon sends
no requests for a time in which the refusals of all daemons stay below the
limit, and then runs fewer there than it did.

Placement asks which servers have a free slot for this daemon. Nothing here does
input or output.
"""

from collections.abc import Iterable
from typing import Final

import attrs

from figstream import backend_server
from figstream import bounded_records

# All daemons together may cause half of the refusals that the limit allows,
# since their views of the fleet differ for seconds.
_SAFETY_FACTOR: Final = 2.0
# Bounds of the time without requests after a refusal.
_MIN_PAUSE_S: Final = 0.5
_MAX_PAUSE_S: Final = 5.0
# After a refusal, the part of the requests that run at a server which a daemon
# runs there from then on, and for how long.
_REDUCTION_FACTOR: Final = 0.5
_REDUCED_S: Final = 10.0
# Many times the duration of a short request, so that the requests of two turns
# rarely meet.
_TURN_S: Final = 1.0
# More servers than turn requests away within ten seconds.
_MAX_REFUSING_SERVERS: Final = 4_096


@attrs.define
class _Service:
    """What the servers of a service last said.

    Attributes:
      refusals_per_s: refusals a second above which one of its servers
        crashes.
      named_at: clock time of the request whose answer said so.
    """

    refusals_per_s: float
    named_at: float


@attrs.frozen
class _Refusal:
    """What follows from the last refusal of a server.

    Attributes:
      closed_until: clock time until which it gets no requests.
      most_requests: requests of this daemon that may run there from then on.
      reduced_until: clock time until which this holds.
    """

    closed_until: float
    most_requests: int
    reduced_until: float


class RefusalLimits:
    """The slots that one daemon may use at servers with a refusal limit."""

    def __init__(self) -> None:
        """Initializes without limits, as the only daemon."""
        self._services: dict[str, _Service] = {}
        self._refusals: dict[str, _Refusal] = {}
        self._first_slots: dict[str, int] = {}
        self._slots: dict[str, int] = {}
        self._rank = 0
        self._daemons = 1
        self._epoch = 0.0

    @property
    def any(self) -> bool:
        """Returns whether the servers of any service have a limit."""
        return bool(self._services)

    def set_servers(
        self, servers: Iterable[backend_server.BackendServer]
    ) -> None:
        """Numbers the slots of each service over the present servers."""
        self._first_slots = {}
        self._slots = {}
        for server in sorted(servers, key=lambda item: item.name):
            first = self._slots.get(server.service, 0)
            self._first_slots[server.name] = first
            self._slots[server.service] = first + server.slots

    def set_place(self, rank: int, daemons: int) -> None:
        """Applies this daemon's rank among all daemons, from 0."""
        self._rank = rank
        self._daemons = max(1, daemons)

    def apply_limit(
        self,
        service: str,
        refusals_per_s: float | None,
        sent_at: float,
        epoch: float,
    ) -> bool:
        """Applies what an answer of one of a service's servers says.

        Args:
          service: the service; all its servers have the limit.
          refusals_per_s: refusals a second above which a server crashes, None
            if the answer names no limit.
          sent_at: clock time at which the request was sent.
          epoch: clock time of the Unix epoch.

        Returns:
          Whether the service had no limit before, or has none now.
        """
        known = self._services.get(service)
        if known and sent_at < known.named_at:
            return False
        if refusals_per_s is None:
            return self._services.pop(service, None) is not None
        self._services[service] = _Service(refusals_per_s, sent_at)
        self._epoch = epoch
        return known is None

    def refused(
        self,
        server: backend_server.BackendServer,
        own_requests: int,
        now: float,
    ) -> None:
        """Records that a server turned a request of this daemon away.

        Args:
          server: the server.
          own_requests: requests of this daemon that run there.
          now: clock seconds.
        """
        known = self._services.get(server.service)
        if known is None:
            return
        shared = max(known.refusals_per_s, 1.0) / self._daemons
        pause_s = min(max(_SAFETY_FACTOR / shared, _MIN_PAUSE_S), _MAX_PAUSE_S)
        refusal = _Refusal(
            now + pause_s,
            max(1, int(own_requests * _REDUCTION_FACTOR)),
            now + pause_s + _REDUCED_S,
        )
        bounded_records.put(
            self._refusals, server.name, refusal, _MAX_REFUSING_SERVERS
        )

    def has_room(
        self,
        server: backend_server.BackendServer,
        own_requests: int,
        now: float,
    ) -> bool:
        """Returns whether this daemon may send a request to a server.

        Args:
          server: the server.
          own_requests: requests of this daemon that run there.
          now: clock seconds.
        """
        if server.service not in self._services:
            return True
        most = self._part(server, now)
        refusal = self._refusals.get(server.name)
        if refusal and refusal.closed_until > now:
            return False
        if refusal and refusal.reduced_until > now:
            most = min(most, refusal.most_requests)
        return own_requests < most

    def _part(self, server: backend_server.BackendServer, now: float) -> int:
        """Returns how many of a server's slots are this daemon's."""
        first = self._first_slots.get(server.name, 0)
        if server.slots < self._daemons:
            # With fewer slots than daemons, each turn goes to the next ones.
            slots = self._slots.get(server.service, server.slots)
            step = slots if slots < self._daemons else 1
            first += step * int((now - self._epoch) / _TURN_S)
        place = (self._rank - first) % self._daemons
        return (server.slots - place - 1) // self._daemons + 1
