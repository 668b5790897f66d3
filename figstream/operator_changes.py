"""Applies the operations of operators to a configuration.

Each operation creates, replaces, changes or removes one named item. The
operations of one change are applied together, and the resulting configuration
is validated after the last of them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final
from typing import TypeVar

import attrs

from figstream import api_key
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import errors
from figstream import message_texts
from figstream import operator_messages
from figstream import request_class as request_class_lib
from figstream import route as route_lib
from figstream.rpc import operator_pb2

_T = TypeVar("_T")
_Configuration = configuration_lib.Configuration
_ApplyOperation = Callable[
    [_Configuration, operator_pb2.Operation], _Configuration
]


def apply(
    current: configuration_lib.Configuration,
    operations: Iterable[operator_pb2.Operation],
) -> configuration_lib.Configuration:
    """Returns the configuration after applying the operations in order.

    Raises:
      errors.ConfigurationError: an operation is empty or not applicable.
    """
    for operation in operations:
        kind = operation.WhichOneof("kind")
        if kind is None:
            raise errors.ConfigurationError(message_texts.EMPTY_OPERATION)
        current = _APPLY_BY_KIND[kind](current, operation)
    return current


def add_key(
    current: configuration_lib.Configuration, record: api_key.KeyRecord
) -> configuration_lib.Configuration:
    """Returns the configuration with a new key added."""
    return attrs.evolve(current, keys=(*current.keys, record))


def withdraw_key(
    current: configuration_lib.Configuration, key_id: str
) -> configuration_lib.Configuration:
    """Returns the configuration with a key withdrawn.

    Raises:
      errors.ConfigurationError: the key does not exist.
    """
    _require_known("key", key_id, current.keys_by_id)
    return attrs.evolve(
        current,
        keys=tuple(
            attrs.evolve(item, withdrawn=True)
            if item.key_id == key_id
            else item
            for item in current.keys
        ),
    )


def _put_item(
    items: Iterable[_T], new: _T, name: Callable[[_T], str]
) -> list[_T]:
    others = [item for item in items if name(item) != name(new)]
    return sorted((*others, new), key=name)


def _require_known(kind: str, name: str, known: Iterable[str]) -> None:
    names = sorted(known)
    if name not in names:
        raise errors.ConfigurationError(
            message_texts.NO_SUCH_ITEM.format(
                kind=kind, name=name, known=", ".join(names[:20]) or "none"
            )
        )


def _put_customer(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    new = operator_messages.to_domain(
        operation.put_customer, customer_lib.Customer
    )
    customers = _put_item(current.customers, new, lambda item: item.name)
    return attrs.evolve(current, customers=tuple(customers))


def _remove_customer(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    name = operation.remove_customer
    _require_known("customer", name, current.customers_by_name)
    keys = [item for item in current.keys if item.customer == name]
    active = [item.key_id for item in keys if not item.withdrawn]
    if active:
        raise errors.ConfigurationError(
            message_texts.CUSTOMER_HAS_KEYS.format(
                name=name, keys=", ".join(active)
            )
        )
    return attrs.evolve(
        current,
        customers=tuple(i for i in current.customers if i.name != name),
        keys=tuple(i for i in current.keys if i.customer != name),
    )


def _put_class(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    new = operator_messages.to_domain(
        operation.put_class, request_class_lib.RequestClass
    )
    classes = _put_item(current.classes, new, lambda item: item.name)
    return attrs.evolve(current, classes=tuple(classes))


def _remove_class(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    name = operation.remove_class
    _require_known("class", name, current.classes_by_name)
    remaining = tuple(item for item in current.classes if item.name != name)
    return attrs.evolve(current, classes=remaining)


def _put_server(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    new = operator_messages.to_domain(
        operation.put_server, backend_server.BackendServer
    )
    servers = _put_item(current.servers, new, lambda item: item.name)
    return attrs.evolve(current, servers=tuple(servers))


def _remove_server(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    name = operation.remove_server
    _require_known("backend server", name, current.servers_by_name)
    remaining = tuple(item for item in current.servers if item.name != name)
    return attrs.evolve(current, servers=remaining)


def _set_server_state(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    wanted = operation.set_server_state
    _require_known("backend server", wanted.name, current.servers_by_name)
    states = {item.value: item for item in backend_server.ServerState}
    _require_known("state", wanted.state, states)
    current_server = current.servers_by_name[wanted.name]
    new = attrs.evolve(current_server, state=states[wanted.state])
    servers = _put_item(current.servers, new, lambda item: item.name)
    return attrs.evolve(current, servers=tuple(servers))


def _put_route(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    new = operator_messages.to_domain(operation.put_route, route_lib.Route)
    routes = _put_item(current.routes, new, lambda item: item.prefix)
    return attrs.evolve(current, routes=tuple(routes))


def _remove_route(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    prefix = operation.remove_route
    _require_known("route", prefix, [item.prefix for item in current.routes])
    remaining = tuple(item for item in current.routes if item.prefix != prefix)
    return attrs.evolve(current, routes=remaining)


def _set_default_class(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    return attrs.evolve(current, default_class=operation.set_default_class)


def _remove_key(
    current: _Configuration, operation: operator_pb2.Operation
) -> _Configuration:
    key_id = operation.remove_key
    withdrawn = [item.key_id for item in current.keys if item.withdrawn]
    _require_known("withdrawn key", key_id, withdrawn)
    remaining = tuple(item for item in current.keys if item.key_id != key_id)
    return attrs.evolve(current, keys=remaining)


_APPLY_BY_KIND: Final[Mapping[str, _ApplyOperation]] = {
    "put_customer": _put_customer,
    "remove_customer": _remove_customer,
    "put_class": _put_class,
    "remove_class": _remove_class,
    "put_server": _put_server,
    "remove_server": _remove_server,
    "set_server_state": _set_server_state,
    "put_route": _put_route,
    "remove_route": _remove_route,
    "set_default_class": _set_default_class,
    "remove_key": _remove_key,
}
