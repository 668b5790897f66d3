"""Chooses the zone of a paced stream before its server is chosen.

`paced_placement` calls this with the servers that could take a stream. Prompts
of paced streams are short, so that no kept prefix speaks for a server of
another zone, and a stream that stays in its zone outlives a cut between zones.
`zone_shares` says how many of the streams leave all the same, because the
zone's own servers are too few.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import operator
import random
from typing import Final

import attrs

from figstream import backend_server
from figstream import logs
from figstream import scheduler_api
from figstream import server_load
from figstream import zone_shares

# Delay that a running request adds to the first event of a new one. Reading a
# short prompt between the steps of the others takes about that.
_DELAY_PER_REQUEST_S: Final = 0.008
# Size of a generated token in a stream, with its part of the event around it.
_BYTES_PER_TOKEN: Final = 12.0
_BYTES_PER_MEGABYTE: Final = 1e6


@attrs.frozen
class LeavingPrice:
    """What traffic between zones costs, by the settings.

    Attributes:
      latency_s: time to another zone and back.
      megabyte_s: delay that callers should accept to save a megabyte between
        zones; 0 if the bytes cost nothing.
    """

    latency_s: float
    megabyte_s: float


class StreamZones:
    """Divides the paced streams of one daemon among the zones."""

    def __init__(
        self,
        zone: str,
        book: server_load.LoadBook,
        price: LeavingPrice,
        source: random.Random,
    ) -> None:
        """Initializes with all streams in the own zone.

        Args:
          zone: the availability zone of the daemon.
          book: loads of the servers.
          price: what leaving the zone costs.
          source: random source by which streams follow the shares.
        """
        self._shares = zone_shares.make_zone_shares(zone)
        self._book = book
        self._price = price
        self._random = source

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        candidates: Sequence[backend_server.BackendServer],
        now: float,
    ) -> Sequence[backend_server.BackendServer]:
        """Returns the candidates in the zone that a stream goes to.

        Args:
          request: the stream.
          candidates: the servers that could take it, at least one.
          now: clock seconds.
        """
        by_zone = _by_zone(candidates)
        shares = self._shares.shares(
            request.service,
            self._states(by_zone, now),
            self._cost_of(request),
            request.request_class.service_level.first_token_s,
            now,
        )
        for change in self._shares.take_changes():
            logs.info(
                "zone_shares_changed",
                service=change.kind,
                reason=change.reason,
                shares=",".join(
                    f"{zone}:{share:.2f}"
                    for zone, share in sorted(change.shares.items())
                ),
            )
        zones = list(shares)
        chosen = self._random.choices(zones, [shares[x] for x in zones])[0]
        return by_zone[chosen]

    def _states(
        self,
        by_zone: Mapping[str, Sequence[backend_server.BackendServer]],
        now: float,
    ) -> Sequence[zone_shares.ZoneState]:
        """Returns what is known of each zone; without reports the mean load."""
        loads = {
            zone: [
                load
                for item in servers
                if (load := self._book.known_requests(item.name, now))
                is not None
            ]
            for zone, servers in by_zone.items()
        }
        known = list(itertools.chain.from_iterable(loads.values()))
        mean = sum(known) / len(known) if known else 0.0
        return [
            zone_shares.ZoneState(
                zone,
                float(len(servers)),
                _DELAY_PER_REQUEST_S
                * (sum(found) / len(found) if found else mean),
            )
            for (zone, servers), found in zip(
                by_zone.items(), loads.values(), strict=True
            )
        ]

    def _cost_of(
        self, request: scheduler_api.PendingRequest
    ) -> zone_shares.LeavingCost:
        sent_bytes = request.body_bytes + (
            request.max_output_tokens * _BYTES_PER_TOKEN
        )
        return zone_shares.LeavingCost(
            self._price.latency_s,
            self._price.megabyte_s * sent_bytes / _BYTES_PER_MEGABYTE,
        )


def _by_zone(
    servers: Sequence[backend_server.BackendServer],
) -> Mapping[str, Sequence[backend_server.BackendServer]]:
    zone_of = operator.attrgetter("zone")
    return {
        zone: list(items)
        for zone, items in itertools.groupby(
            sorted(servers, key=zone_of), zone_of
        )
    }
