"""Converts the file of `figstream operator apply` to operations.

The items listed in the file are created or replaced, and the items under
`remove` are removed. All other items stay unchanged. Applying a file again
changes nothing.
"""

from collections.abc import Iterable
import itertools

import attrs

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import operator_messages
from figstream import request_class as request_class_lib
from figstream import route as route_lib
from figstream.rpc import operator_pb2

_Operation = operator_pb2.Operation


@attrs.frozen
class Removals:
    """Names of items to remove, if they exist."""

    customers: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


@attrs.frozen
class ChangeSet:
    """A set of changes that is applied atomically.

    Attributes:
      customers: customers to create or replace.
      classes: request classes to create or replace.
      servers: backend servers to create or replace.
      routes: routes to create or replace.
      default_class: class of requests that name no class, or None to keep
        the current default.
      remove: items to remove, if they exist.
    """

    customers: tuple[customer_lib.Customer, ...] = ()
    classes: tuple[request_class_lib.RequestClass, ...] = ()
    servers: tuple[backend_server.BackendServer, ...] = ()
    routes: tuple[route_lib.Route, ...] = ()
    default_class: str | None = None
    remove: Removals = Removals()


def operations(
    change_set: ChangeSet, current: configuration_lib.Configuration
) -> Iterable[operator_pb2.Operation]:
    """Returns the operations that carry out a set of changes.

    Args:
      change_set: the set of changes.
      current: the current configuration; items that it lacks are not
        removed.
    """
    return itertools.chain(
        _put_operations(change_set),
        _remove_operations(change_set.remove, current),
    )


def _put_operations(change_set: ChangeSet) -> Iterable[operator_pb2.Operation]:
    convert = operator_messages.to_message
    for request_class in change_set.classes:
        yield _Operation(
            put_class=convert(request_class, operator_pb2.RequestClass)
        )
    for customer in change_set.customers:
        yield _Operation(put_customer=convert(customer, operator_pb2.Customer))
    for server in change_set.servers:
        yield _Operation(put_server=convert(server, operator_pb2.BackendServer))
    for route in change_set.routes:
        yield _Operation(put_route=convert(route, operator_pb2.Route))
    if change_set.default_class is not None:
        yield _Operation(set_default_class=change_set.default_class)


def _remove_operations(
    remove: Removals, current: configuration_lib.Configuration
) -> Iterable[operator_pb2.Operation]:
    prefixes = {item.prefix for item in current.routes}
    for prefix in prefixes.intersection(remove.routes):
        yield _Operation(remove_route=prefix)
    for name in current.servers_by_name.keys() & set(remove.servers):
        yield _Operation(remove_server=name)
    for name in current.customers_by_name.keys() & set(remove.customers):
        yield _Operation(remove_customer=name)
    for name in current.classes_by_name.keys() & set(remove.classes):
        yield _Operation(remove_class=name)
