"""Orders the backend servers of one zone while this daemon holds its lease.

Each round lists the running servers, removes completed orders from the order
book, applies the decisions of `capacity_policy`, records the new orders with
the lease, and only then sends them.

A former lease holder fails to record its orders, and the lease is checked
again at the write to the socket. After a takeover, the new holder reads the
recorded orders and resends them under their ids.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import random
from typing import Final

import anyio
import attrs

from figstream import backend_server
from figstream import capacity_policy
from figstream import configuration_store
from figstream import daemon_context
from figstream import demand as demand_lib
from figstream import errors
from figstream import lease as lease_lib
from figstream import leaving_servers
from figstream import logs
from figstream import order_book
from figstream import platform_api
from figstream import server_registration

# A fraction of the startup time of a server.
ROUND_INTERVAL_S: Final = 2.0
# Maximum lag of the platform's list of servers.
_MAX_LIST_LAG_S: Final = 120.0
# By this time the notice of a drain has reached all daemons.
_MIN_DRAIN_S: Final = 5.0
# Duration of the longest stream.
_MAX_DRAIN_S: Final = 600.0

_OrderKind = platform_api.OrderKind


class ServerOrdering:
    """Orders the servers of one zone; satisfies `Role`."""

    def __init__(
        self,
        context: daemon_context.DaemonContext,
        lease: lease_lib.HeldLease,
        zone_demand: demand_lib.ZoneDemand,
        leaving: leaving_servers.LeavingServers,
        registration: server_registration.ServerRegistration,
    ) -> None:
        """Initializes the ordering of the zone of this daemon."""
        self._context = context
        self._clock = context.clock
        self._orders = context.platform.orders
        self._zone = context.options.zone
        self._lease = lease
        self._zone_demand = zone_demand
        self._leaving = leaving
        self._registration = registration
        self._random = random.Random(context.start_number)
        self._policy = capacity_policy.CapacityPolicy(context.start_number)
        self._sequence = itertools.count(1)
        self._outcomes: dict[str, platform_api.OrderOutcome] = {}
        self._accepted_at: dict[str, float] = {}
        self._drained_since: dict[str, float] = {}
        self._load_allowed_at: dict[str, float] = {}
        self._ordered_at: dict[str, float] = {}

    async def run(self) -> None:
        """Runs rounds while the lease is held, until cancelled."""
        while True:
            if self._lease.fencing() is not None:
                await self.round()
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(ROUND_INTERVAL_S * jitter)

    async def hand_over(self) -> None:
        """Does nothing; the orders stay recorded with the lease."""

    async def round(self) -> None:
        """Lists the servers of the zone and sends the necessary orders."""
        listed_servers = await self._orders.list_servers(self._zone)
        if isinstance(listed_servers, platform_api.Unavailable):
            self._context.metrics.event("servers_not_listed")
            return
        book = self._remaining_book(listed_servers)
        if book is None:
            return
        draining = frozenset(item.name for item in book.draining)
        leaving = {item.name for item in listed_servers if item.leaving}
        self._leaving.announce(self._zone, draining | leaving)
        book = await self._plan(book, listed_servers)
        recorded = order_book.encode(book)
        if recorded != self._lease.state and not await self._lease.record(
            recorded
        ):
            self._context.metrics.event("orders_not_recorded")
            return
        for order in book.pending:
            await self._send(order)
        draining = frozenset(item.name for item in book.draining)
        if self._lease.fencing() is not None:
            await self._registration.reconcile(listed_servers, draining)

    def _remaining_book(
        self, listed_servers: Sequence[platform_api.OrderedServer]
    ) -> order_book.OrderBook | None:
        """Returns the recorded order book without completed orders."""
        try:
            book = order_book.decode(self._lease.state)
        except errors.ConfigurationError as error:
            logs.error("orders_unreadable", detail=str(error))
            return None
        now = self._clock.now()
        expected = {item.order_id for item in book.expected}
        self._accepted_at = {
            order_id: self._accepted_at.get(order_id, now)
            for order_id in expected
        }
        overdue = {
            order_id
            for order_id, at in self._accepted_at.items()
            if now - at > _MAX_LIST_LAG_S
        }
        listed = {item.name: item for item in listed_servers}
        remaining = book.remove_completed(listed, self._outcomes, overdue)
        pending_ids = {item.order_id for item in remaining.pending}
        self._outcomes = {
            order_id: outcome
            for order_id, outcome in self._outcomes.items()
            if order_id in pending_ids
        }
        return remaining

    async def _plan(
        self,
        book: order_book.OrderBook,
        listed_servers: Sequence[platform_api.OrderedServer],
    ) -> order_book.OrderBook:
        book = await self._finish_drains(book, listed_servers)
        decisions = self._policy.decide(
            self._zone_demand.total,
            self._capacities(book, listed_servers),
            self._clock.now(),
        )
        for decision in decisions:
            match decision:
                case capacity_policy.StartServer():
                    book = await self._start(book, decision, listed_servers)
                case capacity_policy.StopServer():
                    drained = order_book.Draining(decision.name)
                    book = _add_draining(book, drained)
                case capacity_policy.LoadModel():
                    drained = order_book.Draining(decision.name, decision.model)
                    book = _add_draining(book, drained)
        return book

    async def _finish_drains(
        self,
        book: order_book.OrderBook,
        listed_servers: Sequence[platform_api.OrderedServer],
    ) -> order_book.OrderBook:
        """Orders a stop or a model load for servers that have become idle."""
        now = self._clock.now()
        self._drained_since = {
            item.name: self._drained_since.get(item.name, now)
            for item in book.draining
        }
        # The list of servers lags behind the orders, so a server whose order
        # has completed may still be listed and must not be ordered again.
        self._ordered_at = {
            name: at
            for name, at in self._ordered_at.items()
            if now - at < _MAX_LIST_LAG_S
        }
        ordered = {*self._ordered_at, *(item.target for item in book.pending)}
        models = {item.name: item.model for item in listed_servers}
        for item in book.draining:
            idle = now - self._drained_since[item.name] >= self._drain_s()
            if item.next_model and models.get(item.name) == item.next_model:
                others = tuple(x for x in book.draining if x != item)
                book = attrs.evolve(book, draining=others)
            elif idle and item.name not in ordered:
                book = await self._order_for_idle(book, item)
        return book

    async def _order_for_idle(
        self, book: order_book.OrderBook, drained: order_book.Draining
    ) -> order_book.OrderBook:
        """Returns the book with the stop or model load of an idle server."""
        loads = bool(drained.next_model)
        if loads and not await self._may_load(drained.next_model):
            return book
        self._ordered_at[drained.name] = self._clock.now()
        kind = _OrderKind.LOAD_MODEL if loads else _OrderKind.STOP
        return book.add(
            self._make_order(kind, drained.name, drained.next_model)
        )

    def _drain_s(self) -> float:
        """Returns the time after which no request can still be running."""
        classes = self._context.holder.current.classes
        longest = max(
            (item.service_level.deadline_s for item in classes), default=0.0
        )
        return min(_MAX_DRAIN_S, max(_MIN_DRAIN_S, longest))

    def _capacities(
        self,
        book: order_book.OrderBook,
        listed_servers: Sequence[platform_api.OrderedServer],
    ) -> list[capacity_policy.ServerCapacity]:
        draining = {item.name for item in book.draining}
        starting = (
            capacity_policy.ServerCapacity(
                item.order_id, item.model, reclaimable=item.reclaimable
            )
            for item in (*book.pending, *book.expected)
            if item.kind is _OrderKind.START
        )
        loading = (
            capacity_policy.ServerCapacity(
                item.name, item.next_model, ordered=False
            )
            for item in book.draining
            if item.next_model
        )
        running = (
            capacity_policy.ServerCapacity(
                item.name, item.model, reclaimable=item.reclaimable
            )
            for item in listed_servers
            if not item.leaving and item.name not in draining
        )
        return [*running, *starting, *loading, *self._operator_servers()]

    def _operator_servers(self) -> Iterable[capacity_policy.ServerCapacity]:
        """Returns the active servers that operators run themselves."""
        return (
            capacity_policy.ServerCapacity(
                item.name, model, item.slots, item.reclaimable, ordered=False
            )
            for item in self._context.holder.current.servers
            if item.zone == self._zone
            and not item.ordered
            and item.state is backend_server.ServerState.ACTIVE
            for model in item.models
        )

    async def _start(
        self,
        book: order_book.OrderBook,
        start: capacity_policy.StartServer,
        listed_servers: Sequence[platform_api.OrderedServer],
    ) -> order_book.OrderBook:
        """Returns the book with a draining server reused or a start added."""
        matching = {
            item.name
            for item in listed_servers
            if item.model == start.model
            and item.reclaimable == start.reclaimable
            and not item.leaving
        }
        targeted = {item.target for item in book.pending}
        for item in book.draining:
            if item.name in matching - targeted:
                others = tuple(x for x in book.draining if x != item)
                return attrs.evolve(book, draining=others)
        if not await self._may_load(start.model):
            return book
        order = self._make_order(
            _OrderKind.START, "", start.model, start.reclaimable
        )
        return book.add(order)

    async def _may_load(self, model: str) -> bool:
        now = self._clock.now()
        if now < self._load_allowed_at.get(model, now):
            return False
        wait_s = await self._context.platform.weights.reserve(model)
        if isinstance(wait_s, platform_api.Unavailable):
            return False
        self._load_allowed_at[model] = self._clock.now() + wait_s
        return wait_s <= 0

    def _make_order(
        self,
        kind: _OrderKind,
        target: str,
        model: str,
        reclaimable: bool = False,
    ) -> platform_api.ServerOrder:
        name = self._context.options.name
        run = f"{self._context.start_number}-{next(self._sequence)}"
        return platform_api.ServerOrder(
            f"{name}-{run}", kind, self._zone, target, model, reclaimable
        )

    async def _send(self, order: platform_api.ServerOrder) -> None:
        fencing = self._lease.fencing()
        if fencing is None:
            return
        outcome: platform_api.OrderOutcome = platform_api.Unknown("timeout")
        # The order is sent under its recorded id, with the fencing number of
        # the current lease holder.
        sent = attrs.evolve(order, fencing=fencing)
        with anyio.move_on_after(self._lease.times.order_timeout_s):
            outcome = await self._orders.send(
                sent, lambda: self._lease.fencing() == fencing
            )
        self._record_outcome(order, outcome)

    def _record_outcome(
        self,
        order: platform_api.ServerOrder,
        outcome: platform_api.OrderOutcome,
    ) -> None:
        kind = type(outcome).__name__.lower()
        self._context.metrics.event(f"order_{order.kind.value}_{kind}")
        logs.info(
            "order_sent",
            order=order.order_id,
            kind=order.kind.value,
            model=order.model,
            reclaimable=order.reclaimable,
            outcome=kind,
        )
        starts = order.kind is _OrderKind.START
        match outcome:
            case platform_api.OrderRefused(old_fencing=True):
                return
            case platform_api.OrderRefused(none_available=True) if starts:
                now = self._clock.now()
                self._policy.none_available(order.reclaimable, now)
            case platform_api.OrderAccepted() if starts:
                self._policy.available(order.reclaimable)
        self._outcomes[order.order_id] = outcome


def _add_draining(
    book: order_book.OrderBook, drained: order_book.Draining
) -> order_book.OrderBook:
    return attrs.evolve(book, draining=(*book.draining, drained))


def make_server_ordering(
    context: daemon_context.DaemonContext,
    lease: lease_lib.HeldLease,
    zone_demand: demand_lib.ZoneDemand,
    leaving: leaving_servers.LeavingServers,
) -> ServerOrdering:
    """Creates the role that orders the servers of this daemon's zone."""
    store = configuration_store.ConfigurationStore(
        context.platform.objects, context.clock
    )
    registration = server_registration.ServerRegistration(
        context.options.zone, context.holder, store
    )
    return ServerOrdering(context, lease, zone_demand, leaving, registration)
