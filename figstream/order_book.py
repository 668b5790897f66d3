"""Orders of a zone as recorded with the zone's lease.

`server_ordering` records an order before sending it and removes it once its
outcome is known, so that the next lease holder can resend the order under the
same id.
"""

from collections.abc import Container
from collections.abc import Mapping

import attrs

from figstream import platform_api
from figstream import serialization

MAX_PENDING = 64


@attrs.frozen
class Draining:
    """Server that receives no new requests.

    Attributes:
      name: name of the server.
      next_model: model to load once the server is idle, "" to stop the server.
    """

    name: str
    next_model: str = ""


@attrs.frozen
class OrderBook:
    """Content recorded with the lease.

    Attributes:
      pending: orders whose outcome is unknown.
      expected: accepted starts of servers that are not listed yet.
      draining: servers that receive no new requests.
    """

    pending: tuple[platform_api.ServerOrder, ...] = ()
    expected: tuple[platform_api.ServerOrder, ...] = ()
    draining: tuple[Draining, ...] = ()

    def add(self, order: platform_api.ServerOrder) -> "OrderBook":
        """Returns the book with the order added, or unchanged if it is full."""
        if len(self.pending) >= MAX_PENDING:
            return self
        return attrs.evolve(self, pending=(*self.pending, order))

    def remove_completed(
        self,
        listed: Mapping[str, platform_api.OrderedServer],
        outcomes: Mapping[str, platform_api.OrderOutcome],
        overdue: Container[str],
    ) -> "OrderBook":
        """Returns the book without completed orders and stopped servers.

        Args:
          listed: running servers, by name.
          outcomes: outcomes of orders, by order id.
          overdue: ids of accepted starts that are no longer expected to be
            listed.
        """
        started = {item.order_id for item in listed.values()}
        accepted = [
            item
            for item in self.pending
            if item.kind is platform_api.OrderKind.START
            and isinstance(
                outcomes.get(item.order_id), platform_api.OrderAccepted
            )
        ]
        return OrderBook(
            tuple(
                item
                for item in self.pending
                if not _is_completed(item, listed, started)
                and not isinstance(
                    outcomes.get(item.order_id),
                    platform_api.OrderAccepted | platform_api.OrderRefused,
                )
            ),
            tuple(
                item
                for item in (*self.expected, *accepted)
                if item.order_id not in started and item.order_id not in overdue
            ),
            tuple(item for item in self.draining if item.name in listed),
        )


def _is_completed(
    order: platform_api.ServerOrder,
    listed: Mapping[str, platform_api.OrderedServer],
    started: Container[str],
) -> bool:
    if order.kind is platform_api.OrderKind.START:
        return order.order_id in started
    if order.target not in listed:
        return True
    loads = order.kind is platform_api.OrderKind.LOAD_MODEL
    return loads and listed[order.target].model == order.model


def encode(book: OrderBook) -> str:
    """Encodes the book for the lease."""
    return serialization.to_json(book).decode()


def decode(state: str) -> OrderBook:
    """Decodes the state recorded with a lease.

    Raises:
      errors.ConfigurationError: the state was written by another version.
    """
    return serialization.from_json(state, OrderBook) if state else OrderBook()
