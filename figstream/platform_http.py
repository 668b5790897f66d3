"""Implements the interfaces of `platform_api` over HTTP.

A call that certainly did not arrive returns `Unavailable`. A write, an order
or a report that may have been sent but got no answer returns `Unknown`; the
daemon must then read the present state before it decides anything.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import TypeVar
import urllib.parse

import attrs
import httpcore

from figstream import answer_buffers
from figstream import backend_network
from figstream import errors
from figstream import order_transport
from figstream import platform_api
from figstream import platform_network
from figstream import platform_wire as wire
from figstream import serialization

_T = TypeVar("_T")
# Event that httpcore reports just before it writes the head of a request.
_BEFORE_WRITE_EVENT: Final = "http11.send_request_headers.started"
# Longer than the interval of any regular call, which thus reuses a connection.
_KEEP_ALIVE_S: Final = 30.0
# More than the calls that the roles of a daemon make at the same time.
_MAX_CONNECTIONS: Final = 64
# The kernel closes a connection whose data stay unacknowledged for this long.
# An idle connection is not closed: a watch waits much longer for its answer.
_UNACKNOWLEDGED_LIMIT_MS: Final = 3_000
# Errors after which the platform certainly did not receive the request.
_NOT_SENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
# Errors after which the platform may have received the request.
_NO_ANSWER_ERRORS: Final = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)


@attrs.frozen
class HttpAnswer:
    """A complete answer; the names of `headers` are in lower case."""

    status: int
    headers: Mapping[str, str]
    content: bytes


CallOutcome = HttpAnswer | platform_api.Unavailable | platform_api.Unknown


class PlatformHttpClient:
    """Makes HTTP calls to the platform on behalf of one daemon."""

    def __init__(self, url: str, client_name: str, timeout_s: float) -> None:
        """Initializes the HTTP client, which connects at the first call."""
        self.url = url
        self.client_name = client_name
        self.timeout_s = timeout_s
        self._buffers = answer_buffers.AnswerBuffers()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_S,
            socket_options=backend_network.unresponsive_peer_options(
                _UNACKNOWLEDGED_LIMIT_MS
            ),
            network_backend=platform_network.HeadCheckedBackend(
                httpcore.AnyIOBackend()
            ),
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, str | int | float] | None = None,
        content: bytes = b"",
        headers: Mapping[str, str] | None = None,
        extra_timeout_s: float = 0.0,
        allowed: Callable[[], bool] | None = None,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> CallOutcome:
        """Makes one call; returns answers of any status code.

        If `allowed` is given, it is checked just before the write, and the
        call is not sent if it returns False. `on_part` receives the size of
        each part of the answer's body.
        """
        query = f"?{urllib.parse.urlencode(params)}" if params else ""
        sent_headers = {wire.CLIENT_HEADER: self.client_name, **(headers or {})}
        try:
            async with self._pool.stream(
                method,
                self.url + path + query,
                headers=list(sent_headers.items()),
                content=None if method == "GET" else content,
                extensions=_extensions(
                    self.timeout_s + extra_timeout_s, allowed
                ),
            ) as answer:
                return await self._read(answer, on_part)
        except _NOT_SENT_ERRORS as error:
            return platform_api.Unavailable(_describe(error))
        except _NO_ANSWER_ERRORS as error:
            return platform_api.Unknown(_describe(error))

    async def call_if_allowed(
        self,
        method: str,
        path: str,
        content: bytes,
        headers: Mapping[str, str],
        allowed: Callable[[], bool],
    ) -> CallOutcome:
        """Makes one call if `allowed` returns True just before the write."""
        return await order_transport.send(
            method,
            self.url + path,
            content,
            {wire.CLIENT_HEADER: self.client_name, **headers},
            self.timeout_s,
            allowed,
            self._read,
        )

    async def get(
        self,
        path: str,
        kind: type[_T],
        params: Mapping[str, str | int | float] | None = None,
        extra_timeout_s: float = 0.0,
    ) -> _T | platform_api.Unavailable:
        """Reads JSON; returns `Unavailable` for any failure."""
        answer = await self.call(
            "GET", path, params=params, extra_timeout_s=extra_timeout_s
        )
        if not isinstance(answer, HttpAnswer):
            return platform_api.Unavailable(answer.detail)
        if answer.status != wire.OK:
            return platform_api.Unavailable(_failure_detail(answer))
        return _decode(answer, kind) or _undecodable(path)

    async def _read(
        self,
        answer: httpcore.Response,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> HttpAnswer:
        """Reads a complete answer.

        Raises:
          httpcore.RemoteProtocolError: it takes more memory than is left.
        """
        try:
            content = await answer_buffers.read_all(
                answer.aiter_stream(), self._buffers, on_part
            )
        except answer_buffers.AnswerTooLongError as error:
            raise httpcore.RemoteProtocolError("answer too long") from error
        headers = {
            name.lower().decode("latin-1"): value.decode("latin-1")
            for name, value in answer.headers
        }
        return HttpAnswer(answer.status, headers, content)


class HttpObjectStore:
    """The object API; satisfies `platform_api.ObjectStore`."""

    def __init__(self, http_client: PlatformHttpClient) -> None:
        """Initializes the interface; `http_client` makes the HTTP calls."""
        self._http_client = http_client

    async def read(
        self, name: str, *, stale: bool = False
    ) -> platform_api.ReadOutcome:
        """Reads one object."""
        answer = await self._http_client.call("GET", _object_path(name))
        if not isinstance(answer, HttpAnswer):
            return platform_api.Unavailable(answer.detail)
        if answer.status == wire.NOT_FOUND:
            return platform_api.Absent(name)
        version = answer.headers.get(wire.VERSION_HEADER, "")
        if answer.status != wire.OK or not version.isdigit():
            return platform_api.Unavailable(_failure_detail(answer))
        return platform_api.Found(name, int(version), answer.content)

    async def write(
        self, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Writes an object that has the expected version, 0 for a new one."""
        return await self._conditional_write(
            "PUT", name, body, expected_version
        )

    async def delete(
        self, name: str, expected_version: int
    ) -> platform_api.WriteOutcome:
        """Deletes an object that has the expected version."""
        return await self._conditional_write(
            "DELETE", name, b"", expected_version
        )

    async def list_names(
        self, prefix: str
    ) -> Sequence[str] | platform_api.Unavailable:
        """Lists the names that start with the prefix."""
        found = await self._http_client.get(
            wire.LISTING, wire.NamesBody, {"prefix": prefix}
        )
        return found.names if isinstance(found, wire.NamesBody) else found

    async def watch(
        self, prefix: str, position: int, timeout_s: float
    ) -> platform_api.Changes | platform_api.Unavailable:
        """Waits for changes after the position; counts as one call."""
        params: dict[str, str | int | float] = {
            "prefix": prefix,
            "position": position,
            "timeout_s": timeout_s,
        }
        return await self._http_client.get(
            wire.WATCH, platform_api.Changes, params, extra_timeout_s=timeout_s
        )

    async def _conditional_write(
        self, method: str, name: str, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        answer = await self._http_client.call(
            method,
            _object_path(name),
            params={"version": expected_version},
            content=body,
        )
        if not isinstance(answer, HttpAnswer):
            return answer
        found = _decode(answer, wire.VersionBody)
        if answer.status == wire.OK and found:
            return platform_api.Written(found.version)
        if answer.status == wire.CONFLICT and found:
            return platform_api.Conflict(found.version)
        return _unavailable_or_unknown(answer)


class HttpVmList:
    """The list of VMs; satisfies `platform_api.VmList`."""

    def __init__(self, http_client: PlatformHttpClient) -> None:
        """Initializes the interface; `http_client` makes the HTTP calls."""
        self._http_client = http_client

    async def list_vms(
        self,
    ) -> Sequence[platform_api.VirtualMachine] | platform_api.Unavailable:
        """Lists the VMs of the system."""
        found = await self._http_client.get(wire.VMS, wire.VmsBody)
        return found.vms if isinstance(found, wire.VmsBody) else found


class HttpServerOrders:
    """Sends server orders; satisfies `platform_api.ServerOrders`."""

    def __init__(self, http_client: PlatformHttpClient) -> None:
        """Initializes the interface; `http_client` makes the HTTP calls."""
        self._http_client = http_client

    async def send(
        self,
        order: platform_api.ServerOrder,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.OrderOutcome:
        """Sends one order if `allowed` returns True just before the write."""
        found = await self._http_client.call_if_allowed(
            "POST", wire.ORDERS, serialization.to_json(order), {}, allowed
        )
        if not isinstance(found, HttpAnswer):
            return found
        if found.status == wire.OK:
            accepted = _decode(found, platform_api.OrderAccepted)
            return accepted or _unavailable_or_unknown(found)
        if found.status == wire.CONFLICT:
            refused = _decode(found, platform_api.OrderRefused)
            return refused or _unavailable_or_unknown(found)
        return _unavailable_or_unknown(found)

    async def list_servers(
        self, zone: str
    ) -> Sequence[platform_api.OrderedServer] | platform_api.Unavailable:
        """Lists the backend servers that run in a zone."""
        found = await self._http_client.get(
            wire.SERVERS, wire.ServersBody, {"zone": zone}
        )
        return found.servers if isinstance(found, wire.ServersBody) else found


class HttpUsageReports:
    """Sends usage reports; satisfies `platform_api.UsageReports`."""

    def __init__(self, http_client: PlatformHttpClient) -> None:
        """Initializes the interface; `http_client` makes the HTTP calls."""
        self._http_client = http_client

    async def report(
        self,
        window: str,
        body: bytes,
        fencing: int,
        allowed: Callable[[], bool] = platform_api.always_allowed,
    ) -> platform_api.ReportOutcome:
        """Reports a window if `allowed` returns True just before the write."""
        answer = await self._http_client.call_if_allowed(
            "PUT",
            wire.USAGE + _quote(window),
            body,
            {wire.FENCING_HEADER: str(fencing)},
            allowed,
        )
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status == wire.OK:
            return platform_api.ReportAccepted()
        if answer.status == wire.CONFLICT:
            return platform_api.ReportRefused(_failure_detail(answer))
        return _unavailable_or_unknown(answer)


class HttpWeightStore:
    """The weight store; satisfies `platform_api.WeightStore`."""

    def __init__(self, http_client: PlatformHttpClient) -> None:
        """Initializes the interface; `http_client` makes the HTTP calls."""
        self._http_client = http_client

    async def reserve(self, model: str) -> float | platform_api.Unavailable:
        """Reserves a load of a model; returns seconds to wait, 0 for none."""
        path = wire.WEIGHTS + _quote(model)
        answer = await self._http_client.call("POST", path)
        if not isinstance(answer, HttpAnswer):
            return platform_api.Unavailable(answer.detail)
        found = _decode(answer, wire.WaitBody)
        if answer.status != wire.OK or found is None:
            return platform_api.Unavailable(_failure_detail(answer))
        return found.wait_s


def _extensions(
    timeout_s: float, allowed: Callable[[], bool] | None
) -> dict[str, Any]:
    """Returns request extensions that bound each step of a call.

    If `allowed` is given, they check it before the write.
    """
    steps = ("connect", "read", "write", "pool")
    extensions: dict[str, Any] = {"timeout": dict.fromkeys(steps, timeout_s)}
    if allowed is None:
        return extensions

    async def trace(event: str, _: object) -> None:
        if event == _BEFORE_WRITE_EVENT and not allowed():
            raise order_transport.NotAllowedError("no longer allowed")

    return {**extensions, "trace": trace}


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _object_path(name: str) -> str:
    return wire.OBJECTS + _quote(name)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _failure_detail(answer: HttpAnswer) -> str:
    found = _decode(answer, wire.DetailBody)
    return found.detail if found else f"status {answer.status}"


def _unavailable_or_unknown(
    answer: HttpAnswer,
) -> platform_api.Unavailable | platform_api.Unknown:
    if answer.status in wire.NO_EFFECT_STATUSES:
        return platform_api.Unavailable(_failure_detail(answer))
    return platform_api.Unknown(f"status {answer.status}")


def _undecodable(path: str) -> platform_api.Unavailable:
    return platform_api.Unavailable(f"the answer to {path} can't be decoded")


def _decode(answer: HttpAnswer, kind: type[_T]) -> _T | None:
    try:
        return serialization.from_json(answer.content, kind)
    except errors.ConfigurationError:
        return None


def make_platform(
    url: str, client_name: str, timeout_s: float
) -> platform_api.Platform:
    """Creates the interfaces to the platform at a base address."""
    http_client = PlatformHttpClient(url, client_name, timeout_s)
    return platform_api.Platform(
        HttpObjectStore(http_client),
        HttpVmList(http_client),
        HttpServerOrders(http_client),
        HttpUsageReports(http_client),
        HttpWeightStore(http_client),
    )
