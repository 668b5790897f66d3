"""Converts between protobuf messages of operators and domain classes.

The fields of a message have the same names as those of the domain class, so
both conversions go through JSON. A missing field gets the default value of
the domain class.
"""

from typing import TypeVar

from google.protobuf import json_format
from google.protobuf import message as message_lib

from figstream import configuration as configuration_lib
from figstream import explain
from figstream import serialization
from figstream.rpc import operator_pb2

_T = TypeVar("_T")
_M = TypeVar("_M", bound=message_lib.Message)


def to_domain(message: message_lib.Message, kind: type[_T]) -> _T:
    """Returns the domain object for a message.

    Raises:
      errors.ConfigurationError: a field has a value that is not allowed.
    """
    text = json_format.MessageToJson(message, preserving_proto_field_name=True)
    return serialization.from_json(text, kind)


def to_message(value: object, kind: type[_M]) -> _M:
    """Returns the message for a domain object."""
    return json_format.Parse(serialization.to_json(value), kind())


def configuration_answer(
    found: configuration_lib.Configuration,
) -> operator_pb2.ConfigurationAnswer:
    """Returns the message for a configuration, without salts and digests."""
    return operator_pb2.ConfigurationAnswer(
        generation=found.generation,
        customers=[
            to_message(item, operator_pb2.Customer) for item in found.customers
        ],
        keys=[
            operator_pb2.Key(
                key_id=item.key_id,
                customer=item.customer,
                withdrawn=item.withdrawn,
            )
            for item in found.keys
        ],
        classes=[
            to_message(item, operator_pb2.RequestClass)
            for item in found.classes
        ],
        servers=[
            to_message(item, operator_pb2.BackendServer)
            for item in found.servers
        ],
        routes=[to_message(item, operator_pb2.Route) for item in found.routes],
        default_class=found.default_class,
    )


def decision(
    record: explain.DecisionRecord, daemon: str
) -> operator_pb2.Decision:
    """Returns the message for a decision record of the named daemon."""
    message = to_message(record, operator_pb2.Decision)
    message.daemon = daemon
    return message
