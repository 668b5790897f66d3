"""Defines the paths, headers and bodies of the platform's HTTP interface.

The adapter and the stand-in share these definitions. The status code gives the
kind of the outcome; the body carries its figures as JSON.
"""

import http
from typing import Final

import attrs

from figstream import platform_api

OBJECTS: Final = "/objects/"
LISTING: Final = "/names"
WATCH: Final = "/watch"
VMS: Final = "/vms"
ORDERS: Final = "/orders"
SERVERS: Final = "/servers"
USAGE: Final = "/usage/"
WEIGHTS: Final = "/weights/"
FAULTS: Final = "/faults"
COUNTERS: Final = "/counters"

CLIENT_HEADER: Final = "x-platform-client"
VERSION_HEADER: Final = "x-object-version"
FENCING_HEADER: Final = "x-fencing"

OK: Final = int(http.HTTPStatus.OK)
NOT_FOUND: Final = int(http.HTTPStatus.NOT_FOUND)
CONFLICT: Final = int(http.HTTPStatus.CONFLICT)
TOO_LARGE: Final = int(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
TOO_MANY: Final = int(http.HTTPStatus.TOO_MANY_REQUESTS)
UNAVAILABLE: Final = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
NO_EFFECT_STATUSES: Final = frozenset({TOO_LARGE, TOO_MANY, UNAVAILABLE})


@attrs.frozen
class VersionBody:
    """The version after a write, or the present one after a conflict."""

    version: int


@attrs.frozen
class DetailBody:
    """The reason for which a call had no effect."""

    detail: str


@attrs.frozen
class NamesBody:
    """Names of objects."""

    names: tuple[str, ...]


@attrs.frozen
class VmsBody:
    """The VMs of the system."""

    vms: tuple[platform_api.VirtualMachine, ...]


@attrs.frozen
class ServersBody:
    """The backend servers that run in a zone."""

    servers: tuple[platform_api.OrderedServer, ...]


@attrs.frozen
class WaitBody:
    """The time to wait before a model may be loaded."""

    wait_s: float


@attrs.frozen
class CountersBody:
    """Number of calls received by kind."""

    calls: dict[str, int]
