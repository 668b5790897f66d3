"""The orders of a zone as recorded with its lease.

An order is recorded before it is sent and stays until its outcome is known,
so that the next holder can repeat it under the same id.
"""

from collections.abc import Container
from collections.abc import Mapping

import attrs

from figstream import platform_api
from figstream import serialization

MAX_PENDING = 64


@attrs.frozen
class Draining:
    """A server that gets no new work.

    Attributes:
      name: the server.
      next_model: model to load into it once it is idle, "" to give it back.
    """

    name: str
    next_model: str = ""


@attrs.frozen
class OrderBook:
    """What is recorded with the lease.

    Attributes:
      pending: orders whose outcome is not known.
      expected: accepted starts of servers that are not listed yet.
      draining: servers that get no new work.
    """

    pending: tuple[platform_api.ServerOrder, ...] = ()
    expected: tuple[platform_api.ServerOrder, ...] = ()
    draining: tuple[Draining, ...] = ()

    def add(self, order: platform_api.ServerOrder) -> "OrderBook":
        """Returns the book with one more order, or as it is when full."""
        if len(self.pending) >= MAX_PENDING:
            return self
        return attrs.evolve(self, pending=(*self.pending, order))

    def settle(
        self,
        listed: Mapping[str, platform_api.OrderedServer],
        outcomes: Mapping[str, platform_api.OrderOutcome],
        overdue: Container[str],
    ) -> "OrderBook":
        """Returns the book without what has come to its end.

        Args:
          listed: the servers that run, by name.
          outcomes: outcomes of orders, by order id.
          overdue: ids of accepted starts that will not be listed any more.
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
                if not _is_over(item, listed, started)
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


def _is_over(
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
    """Decodes what is recorded with a lease.

    Raises:
      errors.ConfigurationError: it was written by another version.
    """
    return serialization.from_json(state, OrderBook) if state else OrderBook()
