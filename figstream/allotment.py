"""Divides the slots of a pool of servers among daemons in advance.

One daemon, the divider of a pool, receives the demand of each daemon and
allots slots to the daemons: the highest tier first, within a tier by max-min
fairness among customers, and the remaining slots in equal shares. Allotments
expire, so that after the loss of the divider no daemon keeps slots that
another daemon uses too. `slot_plan.AllottedShares` applies an allotment.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools

import attrs

from figstream import backend_server


@attrs.frozen
class Demand:
    """The running and waiting requests of one customer and tier at a daemon."""

    daemon: str
    tier: int
    customer: str
    requests: int


@attrs.frozen
class Allotment:
    """The slots of each server that one daemon may fill.

    Attributes:
      expires_at: end of the allotment's validity, in clock seconds of the
        receiving daemon.
      slots: slots by the server's name.
    """

    expires_at: float
    slots: Mapping[str, int]


def max_min_shares(
    demands: Mapping[str, float], total: float
) -> dict[str, float]:
    """Returns the max-min fair shares of a total.

    No share exceeds the demand, and the smallest shares are as large as
    possible.
    """
    shares: dict[str, float] = {}
    ranked = sorted(demands.items(), key=lambda item: item[1])
    for rank, (name, wanted) in enumerate(ranked):
        shares[name] = min(wanted, total / (len(ranked) - rank))
        total -= shares[name]
    return shares


def divide_slots(
    daemons: Sequence[str], demands: Iterable[Demand], slots: int
) -> dict[str, int]:
    """Returns the number of slots of each daemon; the sum is `slots`."""
    wanted = sorted(demands, key=lambda item: item.tier)
    shares: dict[str, float] = dict.fromkeys(daemons, 0.0)
    left = float(slots)
    for _, same_tier in itertools.groupby(wanted, key=lambda item: item.tier):
        left -= _divide_tier(list(same_tier), left, shares)
    for daemon in daemons:
        shares[daemon] += left / len(daemons)
    return _round_to_integers(shares, slots)


def divide_servers(
    servers: Sequence[backend_server.BackendServer], shares: Mapping[str, int]
) -> dict[str, dict[str, int]]:
    """Assigns each daemon's slots to servers, as evenly as possible.

    Returns:
      Slots by daemon and server; the slots assigned at a server never exceed
      the slots that the server has.
    """
    slot_servers = [
        server.name
        for depth in range(max((item.slots for item in servers), default=0))
        for server in servers
        if depth < server.slots
    ]
    slots_by_daemon: dict[str, dict[str, int]] = {}
    position = 0
    for daemon, count in shares.items():
        assigned = collections.Counter(
            slot_servers[position : position + count]
        )
        slots_by_daemon[daemon] = dict(assigned)
        position += count
    return slots_by_daemon


def _divide_tier(
    demands: Sequence[Demand], total: float, shares: dict[str, float]
) -> float:
    by_customer: collections.Counter[str] = collections.Counter()
    for item in demands:
        by_customer[item.customer] += item.requests
    granted = max_min_shares(by_customer, total)
    for item in demands:
        fraction = item.requests / by_customer[item.customer]
        shares[item.daemon] += granted[item.customer] * fraction
    return sum(granted.values())


def _round_to_integers(
    shares: Mapping[str, float], slots: int
) -> dict[str, int]:
    """Returns integer shares, rounded by the largest-remainder method."""
    floors = {name: int(share) for name, share in shares.items()}
    ranked = sorted(shares, key=lambda name: floors[name] - shares[name])
    rest = slots - sum(floors.values())
    for name in ranked[:rest]:
        floors[name] += 1
    return floors
