"""Decides which backend servers a zone starts, stops or loads a model into.

`server_ordering` calls the policy once per round and sends its decisions to
the platform as orders. The policy does no input or output and takes the
current time as an argument.

Demand of preemptible request classes is met with the cheaper, reclaimable
servers; all other demand is met with permanent servers. When the platform has
no servers of a type available, the policy backs off from that type. A server
is stopped only after it has been surplus for a long time.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import random
from typing import Final

import attrs

from figstream import demand as demand_lib

# Used where no other number is configured, for example for ordered servers.
DEFAULT_SLOTS: Final = 16
# Slots per concurrent request of a non-preemptible class, so that a burst finds
# free slots.
HEADROOM_FACTOR: Final = 1.25
# A server is stopped only if the remaining slots are at least this multiple of
# the needed slots.
SURPLUS_FACTOR: Final = 1.5
# Ten times the startup time of a server.
IDLE_S: Final = 300.0
# Used instead of IDLE_S for the last server of a model.
LAST_SERVER_IDLE_S: Final = 900.0
# Limit per zone; twice the planned number of servers.
MAX_SERVERS_PER_ZONE: Final = 200
# Limit per round; further starts are decided once these have taken effect.
MAX_STARTS_PER_ROUND: Final = 4
# Limit per model and round for reclaimable servers.
_MAX_RECLAIMABLE_STARTS: Final = 8
# Upper bound of the first backoff; doubled with each further refusal.
_INITIAL_BACKOFF_S: Final = 5.0
_MAX_BACKOFF_S: Final = 300.0


@attrs.frozen
class ServerCapacity:
    """Backend server that serves a model in the zone.

    Attributes:
      name: name of the server, or the order id while the server starts.
      model: model that the server serves.
      slots: number of requests that the server runs concurrently.
      reclaimable: whether the server is of the cheaper, reclaimable type.
      ordered: whether the policy may stop the server.
    """

    name: str
    model: str
    slots: int = DEFAULT_SLOTS
    reclaimable: bool = False
    ordered: bool = True


@attrs.frozen
class StartServer:
    """Decision to start a server."""

    model: str
    reclaimable: bool


@attrs.frozen
class StopServer:
    """Decision to stop a server."""

    name: str


@attrs.frozen
class LoadModel:
    """Decision to load another model into a surplus server."""

    name: str
    model: str


Decision = StartServer | StopServer | LoadModel


@attrs.frozen
class _Need:
    """Slots that one model needs.

    Attributes:
      model: name of the model.
      tier: highest tier (lowest number) among the demand for the model.
      permanent: slots needed on permanent servers.
      total: slots needed on servers of both types.
    """

    model: str
    tier: int
    permanent: float
    total: float


@attrs.define
class _Backoff:
    """State of the backoff from one server type."""

    attempts: int = 0
    until: float = float("-inf")


class CapacityPolicy:
    """Capacity policy of one zone, with its backoffs and surplus timers."""

    def __init__(self, seed: int) -> None:
        """Initializes the policy; the seed determines the backoff jitter."""
        self._random = random.Random(seed)
        self._backoffs = {True: _Backoff(), False: _Backoff()}
        self._surplus_since: dict[str, float] = {}

    def none_available(self, reclaimable: bool, now: float) -> None:
        """Starts or extends the backoff after a refused order for a type."""
        backoff = self._backoffs[reclaimable]
        max_delay_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**backoff.attempts
        )
        backoff.attempts += 1
        backoff.until = now + self._random.uniform(max_delay_s / 2, max_delay_s)

    def available(self, reclaimable: bool) -> None:
        """Ends the backoff after an accepted order for a type."""
        self._backoffs[reclaimable] = _Backoff()

    def backs_off(self, reclaimable: bool, now: float) -> bool:
        """Returns whether the policy currently backs off from a type."""
        return now < self._backoffs[reclaimable].until

    def decide(
        self,
        demand: demand_lib.Demand,
        servers: Sequence[ServerCapacity],
        now: float,
    ) -> Sequence[Decision]:
        """Returns the decisions of one round, the highest tier first.

        Args:
          demand: demand of the zone's requests.
          servers: servers that run or are being started, without servers that
            are leaving or draining.
          now: current clock time in seconds.
        """
        models = {item.model for item in servers}
        needs = _needs(demand, models)
        surplus = self._surplus_servers(needs, servers, now)
        remaining = max(0, MAX_SERVERS_PER_ZONE - len(servers))
        starts = list(
            itertools.islice(
                self._starts(needs, servers, now),
                min(remaining, MAX_STARTS_PER_ROUND),
            )
        )
        if not starts:
            return [StopServer(item.name) for item in surplus[:1]]
        return list(_reuse(starts, surplus))

    def _starts(
        self,
        needs: Iterable[_Need],
        servers: Sequence[ServerCapacity],
        now: float,
    ) -> Iterable[StartServer]:
        for need in needs:
            of_model = [item for item in servers if item.model == need.model]
            permanent_slots = sum(
                x.slots for x in of_model if not x.reclaimable
            )
            slots = sum(item.slots for item in of_model)
            permanent = max(
                0, math.ceil((need.permanent - permanent_slots) / DEFAULT_SLOTS)
            )
            reclaimable_starts = (
                math.ceil((need.total - slots) / DEFAULT_SLOTS) - permanent
            )
            # A model without any server gets one permanent server; otherwise
            # its preemptible requests would starve until reclaimable servers
            # become available again.
            if (
                reclaimable_starts > 0
                and self.backs_off(True, now)
                and not of_model
                and not permanent
            ):
                permanent = 1
            if not self.backs_off(False, now):
                yield from itertools.repeat(
                    StartServer(need.model, False), permanent
                )
            if reclaimable_starts > 0 and not self.backs_off(True, now):
                count = min(reclaimable_starts, _MAX_RECLAIMABLE_STARTS)
                yield from itertools.repeat(
                    StartServer(need.model, True), count
                )

    def _surplus_servers(
        self,
        needs: Iterable[_Need],
        servers: Sequence[ServerCapacity],
        now: float,
    ) -> list[ServerCapacity]:
        """Returns servers that have been surplus for the idle time."""
        candidates = [
            (item, len(of_model))
            for need in needs
            if (of_model := [x for x in servers if x.model == need.model])
            for item in _surplus(need, of_model)
        ]
        self._surplus_since = {
            item.name: self._surplus_since.get(item.name, now)
            for item, _ in candidates
        }
        return [
            item
            for item, count in candidates
            if now - self._surplus_since[item.name]
            >= (IDLE_S if count > 1 else LAST_SERVER_IDLE_S)
        ]


def _reuse(
    starts: Iterable[StartServer], surplus: Iterable[ServerCapacity]
) -> Iterable[Decision]:
    """Yields the starts, replaced by model loads into surplus servers.

    A start is replaced if a surplus server of the same type is left.
    """
    names: dict[bool, list[str]] = {True: [], False: []}
    for item in surplus:
        names[item.reclaimable].append(item.name)
    for start in starts:
        same_kind = names[start.reclaimable]
        yield LoadModel(same_kind.pop(0), start.model) if same_kind else start


def _needs(demand: demand_lib.Demand, models: Iterable[str]) -> list[_Need]:
    names = {*models, *(key.model for key in demand)}
    return sorted(
        (_need(name, demand) for name in names),
        key=lambda need: (need.tier, need.model),
    )


def _need(model: str, demand: demand_lib.Demand) -> _Need:
    of_model = {
        key: count
        for key, count in demand.items()
        if key.model == model and count > 0
    }
    permanent = sum(n for key, n in of_model.items() if not key.preemptible)
    preemptible = sum(n for key, n in of_model.items() if key.preemptible)
    tier = min((key.tier for key in of_model), default=1_000)
    return _Need(
        model,
        tier,
        HEADROOM_FACTOR * permanent,
        HEADROOM_FACTOR * permanent + preemptible,
    )


def _surplus(
    need: _Need, of_model: Sequence[ServerCapacity]
) -> Iterable[ServerCapacity]:
    """Yields servers whose removal leaves the required surplus of slots.

    Permanent servers come first because they cost more, provided that enough
    of them remain for the demand that needs permanent servers.
    """
    slots = sum(item.slots for item in of_model)
    permanent_slots = sum(
        item.slots for item in of_model if not item.reclaimable
    )
    ordered = sorted(
        (item for item in of_model if item.ordered),
        key=lambda item: (item.reclaimable, item.name),
    )
    for item in ordered:
        slots_left = slots - item.slots
        permanent_left = permanent_slots - (
            0 if item.reclaimable else item.slots
        )
        enough = slots_left >= SURPLUS_FACTOR * need.total
        permanent_enough = (
            item.reclaimable
            or permanent_left >= SURPLUS_FACTOR * need.permanent
        )
        if enough and permanent_enough:
            slots, permanent_slots = slots_left, permanent_left
            yield item
