"""Selects the backend server for a request.

The dispatcher calls the selection for each queued request. Several daemons use
the same servers without coordination. A daemon uses more than its share of a
group only while recent load reports show free capacity. A burst therefore
waits in the daemons' queues, where tiers and fairness order the requests,
rather than in the engines.

The default selection takes the less loaded of two random servers. The load is
the number of this daemon's running requests plus that of the other daemons
from load reports, corrected for the requests that this daemon sent after the
measurement. The selection tries the preferred group first and continues with
further groups, including other availability zones, while the best server found
is heavily loaded.
"""

from collections.abc import Iterable
import itertools
import math
import random
from typing import Final
from typing import Protocol

import attrs

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import prefix_affinity
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import slot_plan

# Load of a server up to which a daemon exceeds its share of the slots.
BORROW_LOAD_LIMIT: Final = 0.9
# Load up to which servers of other zones are used.
SPILL_LOAD_LIMIT: Final = 0.9
# Minimum confidence in a report, 0 to 1, for sending to another zone.
_MIN_SPILL_CONFIDENCE: Final = 0.4
# Share of the load limit that is subtracted at a confidence of 0.
_UNTRUSTED_REDUCTION: Final = 0.25
# Load above its slots that urgent requests may put on an engine.
_URGENT_EXTRA_LOAD: Final = 0.2
# Load below which no further group is searched.
_GOOD_LOAD: Final = 0.8
# The latency to another zone counts as this much load.
_OTHER_ZONE_LOAD: Final = 0.1
# Share of the permanent servers that preemptible requests leave free.
_RESERVED_SHARE: Final = 0.1
# A cached prefix outweighs this much additional load.
_AFFINITY_SLACK: Final = 0.15
# If a larger share of a pool are stragglers, none of them is avoided.
_MAX_AVOIDED_SHARE: Final = 0.5
# In groups of at most this size all servers are candidates.
_SCAN_LIMIT: Final = 8
# Two random choices are enough to bound the longest queue.
_SAMPLES: Final = 2
# Additional samples in local groups, for when sampled servers are unavailable.
_EXTRA_SAMPLES: Final = 4


@attrs.frozen
class Choice:
    """A selected backend server and the reason.

    Attributes:
      server: the selected server.
      reason: the reason as one word, for the log.
      inputs: the inputs of the decision as key=value pairs, for the log.
      prompt_source: another server that caches the shared prefix of the
        prompt, if the selected one may lack the prefix.
    """

    server: backend_server.BackendServer
    reason: str
    inputs: str = ""
    prompt_source: backend_server.BackendServer | None = None


class ServerSelection(Protocol):
    """A strategy for selecting backend servers that daemons share."""

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new configuration."""

    def answered(
        self,
        request: scheduler_api.PendingRequest,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Records that a request was answered."""

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        urgent: bool,
        now: float,
    ) -> Choice | None:
        """Returns the server for a request, or None if it has to wait.

        Args:
          request: the request.
          pool: the candidate servers of the request.
          urgent: whether the request may go to a full server, whose engine
            serves the request before lower tiers.
          now: the time in seconds.
        """

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may use."""


class TwoChoices:
    """Selects the less loaded of two random servers."""

    def __init__(
        self,
        book: server_load.LoadBook,
        affinity: prefix_affinity.PrefixAffinity,
        plan: slot_plan.SlotPlan,
        source: random.Random,
    ) -> None:
        """Stores the load book, prefix table, slot plan and random source."""
        self._plan = plan
        self._book = book
        self._affinity = affinity
        self._random = source

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Does nothing; pools hold all that this selection needs."""

    def answered(
        self,
        request: scheduler_api.PendingRequest,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Does nothing; the load book holds all that it needs."""

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        urgent: bool,
        now: float,
    ) -> Choice | None:
        """Returns the server for a request, or None if it has to wait.

        Args:
          request: the request.
          pool: the candidate servers of the request.
          urgent: whether the request may go to a full server, whose engine
            serves the request before lower tiers.
          now: the time in seconds.
        """
        avoid = self._avoided(request, pool)
        best, least = None, math.inf
        for group in pool.groups:
            if not self._may_use(request, pool, group):
                continue
            found = self._choose_in(request, group, avoid, urgent, now)
            if found is None:
                continue
            load, choice = found
            load += 0.0 if group.local else _OTHER_ZONE_LOAD
            if load < least:
                best, least = choice, load
            if least < _GOOD_LOAD:
                break
        return best

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns how many slots of a pool this daemon may use."""
        return sum(
            self._plan.slots(item, now) * self._healthy_share(item)
            for item in pool.groups
            if item.local
        )

    def _healthy_share(self, group: server_pool.ServerGroup) -> float:
        slow = len(self._book.stragglers & group.names)
        return 1.0 - slow / len(group.servers)

    def _avoided(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
    ) -> frozenset[str]:
        """Returns the servers to avoid, but never all servers of a pool.

        Stragglers are avoided only if they are not most of the pool. A
        straggler receives one request without a first-token target at a time,
        so that its recovery is noticed.
        """
        if request.only_server in pool.names:
            return pool.names - {request.only_server}
        avoid = frozenset(request.tried)
        slow = self._book.stragglers
        if slow:
            slow &= pool.names
            if len(slow) <= len(pool.names) * _MAX_AVOIDED_SHARE:
                avoid |= self._avoided_stragglers(request, slow)
        return avoid if avoid < pool.names else frozenset()

    def _avoided_stragglers(
        self, request: scheduler_api.PendingRequest, slow: frozenset[str]
    ) -> frozenset[str]:
        if request.request_class.service_level.first_token_s:
            return slow
        return frozenset(
            name for name in slow if self._book.state(name).own_requests > 0
        )

    def _may_use(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        group: server_pool.ServerGroup,
    ) -> bool:
        """Returns whether a request may use a group.

        Preemptible requests leave some slots of permanent servers free if
        there are reclaimable ones.
        """
        if not request.request_class.preemptible or group.reclaimable:
            return True
        if not any(item.reclaimable for item in pool.groups):
            return True
        reserved = math.floor(group.share * _RESERVED_SHARE)
        return group.own_requests < group.share - reserved

    def _choose_in(
        self,
        request: scheduler_api.PendingRequest,
        group: server_pool.ServerGroup,
        avoid: frozenset[str],
        urgent: bool,
        now: float,
    ) -> tuple[float, Choice] | None:
        found = self._least_loaded(group, avoid, urgent, now)
        if found is None:
            return None
        load, server = found
        preferred = self._preferred(request, group, avoid)
        if preferred:
            preferred_load = self._load(preferred, group, urgent, now)
            if preferred_load <= load + _AFFINITY_SLACK:
                return preferred_load, Choice(preferred, "prefix")
        reason = "two_choices" if group.local else "other_zone"
        return load, Choice(server, reason)

    def _least_loaded(
        self,
        group: server_pool.ServerGroup,
        avoid: frozenset[str],
        urgent: bool,
        now: float,
    ) -> tuple[float, backend_server.BackendServer] | None:
        best: tuple[float, backend_server.BackendServer] | None = None
        for seen, server in enumerate(self._candidates(group)):
            if best and seen >= _SAMPLES:
                break
            if server.name in avoid:
                continue
            load = self._load(server, group, urgent, now)
            if load < math.inf and (best is None or load < best[0]):
                best = (load, server)
        return best

    def _candidates(
        self, group: server_pool.ServerGroup
    ) -> Iterable[backend_server.BackendServer]:
        servers = self._plan.candidates(group)
        draw = self._random.random
        count = len(servers)
        if count <= _SCAN_LIMIT:
            start = int(draw() * count)
            return itertools.chain(servers[start:], servers[:start])
        samples = _SAMPLES + (_EXTRA_SAMPLES if group.local else 0)
        return (servers[int(draw() * count)] for _ in range(samples))

    def _load(
        self,
        server: backend_server.BackendServer,
        group: server_pool.ServerGroup,
        urgent: bool,
        now: float,
    ) -> float:
        """Returns the expected load relative to the slots; inf if unusable.

        A daemon may always use its share of a local server, so that an
        outdated report of other daemons' requests leaves no slots idle.
        """
        state = self._book.state(server.name)
        if state.reserved_for or state.paused_until > now:
            return math.inf
        confidence = self._book.confidence(server.name, now)
        estimate = self._book.estimate(server.name, group.sharers, confidence)
        load = estimate / server.slots
        part = self._plan.part(server, group, now)
        extra = _URGENT_EXTRA_LOAD if urgent and group.local else 0.0
        load_limit = _load_limit(group, confidence)
        if part.may_borrow and load < load_limit + extra:
            return load
        return (
            load
            if group.local and state.own_requests < part.slots
            else math.inf
        )

    def _preferred(
        self,
        request: scheduler_api.PendingRequest,
        group: server_pool.ServerGroup,
        avoid: frozenset[str],
    ) -> backend_server.BackendServer | None:
        name = self._affinity.server(request.prefix)
        if name is None or name not in group.names or name in avoid:
            return None
        return next(item for item in group.servers if item.name == name)


def _load_limit(group: server_pool.ServerGroup, confidence: float) -> float:
    """Returns the load limit for sending, relative to the slots."""
    if not group.local:
        return SPILL_LOAD_LIMIT if confidence >= _MIN_SPILL_CONFIDENCE else 0.0
    load_limit = 1.0 if group.own_requests < group.share else BORROW_LOAD_LIMIT
    return load_limit * (1.0 - _UNTRUSTED_REDUCTION * (1.0 - confidence))


def make_selection(
    book: server_load.LoadBook,
    affinity: prefix_affinity.PrefixAffinity,
    plan: slot_plan.SlotPlan,
    seed: int,
) -> ServerSelection:
    """Creates the server selection of `figstream serve`."""
    return TwoChoices(book, affinity, plan, random.Random(seed))
