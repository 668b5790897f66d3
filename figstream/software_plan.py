"""Assigns new streams to the software versions of a service.

What two software versions of a backend server write does not fit together, so
a stream must end at the version that began it. Daemons share a plan: the
shares of each version, by which a hash of the stream's id selects its version.
A daemon can therefore tell where a stream began without having seen it.
`stream_software` applies the plan; `software_planner` keeps it in the
platform's store.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

import attrs
import xxhash

from figstream import backend_server

# With a single server, each crash would leave the streams of a version without
# one until the entry expires.
_MIN_SERVERS_PER_VERSION: Final = 2
# A difference between planned and present shares that changes the plan, and
# the shortest time between two such changes.
_LARGE_SHARE_DIFFERENCE: Final = 0.1
_MIN_PERIOD_MS: Final = 1_000
# The same for small differences, which a release resolves by itself.
_SMALL_SHARE_DIFFERENCE: Final = 0.03
_LONG_PERIOD_MS: Final = 10_000
# Several times the longest time from the begin of a stream to its end.
HISTORY_MS: Final = 60_000
# Sums of a few weights stay within numbers of 64 bits.
_MAX_WEIGHT: Final = 1 << 53
_MAX_NUMBER: Final = (1 << 63) - 1
# Number of values of a 64-bit hash.
_HASH_VALUES: Final = 1 << 64


def _check_weights(
    owner: object, _: object, weights: Mapping[str, int]
) -> None:
    # The plan is read from the store, to which other programs write too.
    if not weights or not all(
        0 < item <= _MAX_WEIGHT for item in weights.values()
    ):
        raise ValueError(
            f"weights must be numbers from 1 to {_MAX_WEIGHT}, one at least"
        )


def _check_range(owner: object, _: object, number: int) -> None:
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"times and eras must be from 0 to {_MAX_NUMBER}")


@attrs.frozen
class Shares:
    """The shares of the software versions of a service, in one period.

    Attributes:
      since_ms: begin of the period, Unix milliseconds; unique by service.
      weights: positive weight of each version.
      ended_ms: end of the period, Unix milliseconds, 0 for the present one.
    """

    since_ms: int = attrs.field(validator=_check_range)
    weights: Mapping[str, int] = attrs.field(validator=_check_weights)
    ended_ms: int = attrs.field(default=0, validator=_check_range)


@attrs.frozen
class SoftwarePlan:
    """The shares of all services, with those of the recent past.

    Attributes:
      services: periods of each service, the oldest first.
      era: era of the store in which the plan was written. A plan of another
        era is a copy, which lacks what was written after it.
      complete_since_ms: from when on all periods are there, Unix milliseconds,
        0 if none was ever lost.
    """

    services: Mapping[str, tuple[Shares, ...]] = {}
    era: int = attrs.field(default=0, validator=_check_range)
    complete_since_ms: int = attrs.field(default=0, validator=_check_range)


def assign(stream: str, weights: Mapping[str, int]) -> str | None:
    """Returns the software version of a stream, None without weights.

    Weighted rendezvous hashing: a change of the weights changes the versions
    of as few streams as possible.
    """
    if len(weights) <= 1:
        return next(iter(weights), None)
    return max(weights, key=lambda x: _score(stream, x, weights[x]))


def wanted_weights(
    servers: Iterable[backend_server.BackendServer],
) -> dict[str, int]:
    """Returns the weights that correspond to the active servers.

    Args:
      servers: the servers of one service.
    """
    slots: dict[str, list[int]] = {}
    for server in servers:
        if server.state is backend_server.ServerState.ACTIVE:
            slots.setdefault(server.software, []).append(server.slots)
    several = {
        name: sum(item)
        for name, item in slots.items()
        if len(item) >= _MIN_SERVERS_PER_VERSION
    }
    return several or {name: sum(item) for name, item in slots.items()}


def revised(
    plan: SoftwarePlan,
    servers: Iterable[backend_server.BackendServer],
    services: Iterable[str],
    now_ms: int,
    era: int = 0,
) -> SoftwarePlan:
    """Returns the plan that is due, which is `plan` itself if none is.

    Args:
      plan: the plan in use.
      servers: all backend servers.
      services: the services whose streams may be resumed.
      now_ms: Unix time in milliseconds.
      era: present era of the store.
    """
    restored = bool(plan.services) and plan.era != era
    by_service: dict[str, list[backend_server.BackendServer]] = {}
    for server in servers:
        by_service.setdefault(server.service, []).append(server)
    changed = {}
    for service in services:
        periods = plan.services.get(service, ())
        present = by_service.get(service, [])
        weights = wanted_weights(present)
        due = restored or _is_due(periods, weights, present, now_ms)
        if weights and due:
            changed[service] = _extended(periods, weights, now_ms)
    if not changed:
        return plan
    complete_since_ms = now_ms if restored else plan.complete_since_ms
    return SoftwarePlan({**plan.services, **changed}, era, complete_since_ms)


def with_ends(
    plan: SoftwarePlan, ends_ms: Mapping[str, Mapping[int, int]]
) -> SoftwarePlan:
    """Returns the plan with later ends of periods, `plan` itself if equal.

    Args:
      plan: the plan in use.
      ends_ms: ends in Unix milliseconds, by service and begin of the period.
    """
    changed = {
        service: tuple(
            attrs.evolve(item, ended_ms=max(item.ended_ms, later))
            if (later := ends_ms[service].get(item.since_ms, 0))
            else item
            for item in periods
        )
        for service, periods in plan.services.items()
        if service in ends_ms
    }
    services = {**plan.services, **changed}
    if services == plan.services:
        return plan
    return attrs.evolve(plan, services=services)


def _is_due(
    periods: tuple[Shares, ...],
    wanted: Mapping[str, int],
    servers: Iterable[backend_server.BackendServer],
    now_ms: int,
) -> bool:
    if not periods:
        return True
    planned = periods[-1].weights
    active = {
        item.software
        for item in servers
        if item.state is backend_server.ServerState.ACTIVE
    }
    if not planned.keys() <= active:
        return True
    difference = max(
        abs(_share(planned, name) - _share(wanted, name))
        for name in planned.keys() | wanted.keys()
    )
    age_ms = now_ms - periods[-1].since_ms
    return (
        difference > _LARGE_SHARE_DIFFERENCE and age_ms >= _MIN_PERIOD_MS
    ) or (difference > _SMALL_SHARE_DIFFERENCE and age_ms >= _LONG_PERIOD_MS)


def _extended(
    periods: tuple[Shares, ...], weights: Mapping[str, int], now_ms: int
) -> tuple[Shares, ...]:
    ended = [
        item if item.ended_ms else attrs.evolve(item, ended_ms=now_ms)
        for item in periods
    ]
    recent = [item for item in ended if item.ended_ms > now_ms - HISTORY_MS]
    since_ms = max([now_ms, *(item.since_ms + 1 for item in ended)])
    return (*recent, Shares(since_ms, dict(weights)))


def _share(weights: Mapping[str, int], name: str) -> float:
    return weights.get(name, 0) / sum(weights.values())


def _score(stream: str, version: str, weight: int) -> float:
    digest = xxhash.xxh3_64_intdigest(f"{version}\n{stream}".encode())
    return weight / -math.log((digest + 0.5) / _HASH_VALUES)
