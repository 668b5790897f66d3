"""Serves the in-memory platform over HTTP, for tests and demonstrations.

Each path of the platform has one handler; paths, status codes and bodies are
those of `platform_wire`. Where a fault loses the answer to a write, the
connection is closed before the answer is complete.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final
import urllib.parse

import attrs

from figstream import asgi
from figstream import errors
from figstream import platform_api
from figstream import platform_faults
from figstream import platform_memory
from figstream import platform_wire as wire
from figstream import serialization

_OCTET_STREAM: Final = b"application/octet-stream"


@attrs.frozen
class HttpCall:
    """One received HTTP call.

    Attributes:
      method: HTTP method.
      path: decoded path.
      params: query parameters.
      headers: headers by lower-case name.
      body: complete body.
    """

    method: str
    path: str
    params: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def path_after(self, prefix: str) -> str:
        """Returns the rest of the path after the prefix."""
        return self.path.removeprefix(prefix)

    def integer_param(self, key: str) -> int:
        """Returns a parameter as an integer, 0 if it is missing."""
        return int(self.params.get(key, "0"))

    @property
    def client(self) -> str:
        """Returns the name of the daemon that calls."""
        return self.headers.get(wire.CLIENT_HEADER, "") or _UNNAMED_CLIENT


@attrs.frozen
class HttpAnswer:
    """One answer to a call.

    Attributes:
      status: status code, or None to close the connection without a
        complete answer.
      body: the body.
      content_type: media type of the body.
      headers: further headers.
    """

    status: int | None
    body: bytes = b""
    content_type: bytes = asgi.JSON
    headers: tuple[tuple[bytes, bytes], ...] = ()


_UNNAMED_CLIENT: Final = "unnamed"
_Handler = Callable[[HttpCall], Awaitable[HttpAnswer]]
_NO_ANSWER: Final = HttpAnswer(None)
_NO_SUCH_PATH: Final = HttpAnswer(wire.NOT_FOUND)


class StandinPlatform:
    """Routes HTTP calls to the interfaces of an in-memory platform."""

    def __init__(self, platform: platform_memory.MemoryPlatform) -> None:
        """Initializes the handlers, which serve the given platform."""
        self._platform = platform
        self._handlers: tuple[tuple[str, str, _Handler], ...] = (
            ("GET", wire.OBJECTS, self._read),
            ("PUT", wire.OBJECTS, self._write),
            ("DELETE", wire.OBJECTS, self._delete),
            ("GET", wire.LISTING, self._list_names),
            ("GET", wire.WATCH, self._watch),
            ("GET", wire.VMS, self._list_vms),
            ("PUT", wire.VMS, self._set_vms),
            ("PUT", wire.FAULTS, self._set_faults),
            ("GET", wire.COUNTERS, self._count_calls),
            ("POST", wire.ORDERS, self._send_order),
            ("GET", wire.SERVERS, self._list_servers),
            ("PUT", wire.USAGE, self._report),
            ("POST", wire.WEIGHTS, self._reserve),
        )

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answers one HTTP request."""
        try:
            call = await _receive_call(scope, receive)
        except asgi.CallerGoneError:
            return
        except asgi.BodyTooLargeError:
            answer = _json_answer(wire.TOO_LARGE, wire.DetailBody("too large"))
        else:
            answer = await self._answer(call)
        await _send_answer(answer, send)

    def _interfaces(self, call: HttpCall) -> platform_api.Platform:
        return self._platform.interfaces(call.client)

    async def _answer(self, call: HttpCall) -> HttpAnswer:
        handler = next(
            (
                handler
                for method, prefix, handler in self._handlers
                if method == call.method and call.path.startswith(prefix)
            ),
            None,
        )
        if handler is None:
            return _NO_SUCH_PATH
        try:
            return await handler(call)
        except (ValueError, errors.ConfigurationError) as error:
            return _json_answer(400, wire.DetailBody(str(error)))

    async def _read(self, call: HttpCall) -> HttpAnswer:
        name = call.path_after(wire.OBJECTS)
        found = await self._interfaces(call).objects.read(name)
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        if isinstance(found, platform_api.Absent):
            return HttpAnswer(wire.NOT_FOUND)
        version = (wire.VERSION_HEADER.encode(), str(found.version).encode())
        return HttpAnswer(wire.OK, found.body, _OCTET_STREAM, (version,))

    async def _write(self, call: HttpCall) -> HttpAnswer:
        name = call.path_after(wire.OBJECTS)
        return _write_answer(
            await self._interfaces(call).objects.write(
                name, call.body, call.integer_param("version")
            )
        )

    async def _delete(self, call: HttpCall) -> HttpAnswer:
        name = call.path_after(wire.OBJECTS)
        return _write_answer(
            await self._interfaces(call).objects.delete(
                name, call.integer_param("version")
            )
        )

    async def _list_names(self, call: HttpCall) -> HttpAnswer:
        prefix = call.params.get("prefix", "")
        found = await self._interfaces(call).objects.list_names(prefix)
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        return _json_answer(wire.OK, wire.NamesBody(tuple(found)))

    async def _watch(self, call: HttpCall) -> HttpAnswer:
        found = await self._interfaces(call).objects.watch(
            call.params.get("prefix", ""),
            call.integer_param("position"),
            float(call.params.get("timeout_s", "0")),
        )
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        return _json_answer(wire.OK, found)

    async def _list_vms(self, call: HttpCall) -> HttpAnswer:
        found = await self._interfaces(call).vms.list_vms()
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        return _json_answer(wire.OK, wire.VmsBody(tuple(found)))

    async def _set_vms(self, call: HttpCall) -> HttpAnswer:
        body = serialization.from_json(call.body, wire.VmsBody)
        self._platform.vms.vms = {vm.name: vm for vm in body.vms}
        return HttpAnswer(wire.OK)

    async def _set_faults(self, call: HttpCall) -> HttpAnswer:
        faults = serialization.from_json(
            call.body, platform_faults.FaultSettings
        )
        self._platform.gate.faults = faults
        self._platform.orders.checks_fencing = not faults.fencing_ignored
        return HttpAnswer(wire.OK)

    async def _count_calls(self, call: HttpCall) -> HttpAnswer:
        counters = dict(self._platform.gate.counters)
        return _json_answer(wire.OK, wire.CountersBody(counters))

    async def _send_order(self, call: HttpCall) -> HttpAnswer:
        order = serialization.from_json(call.body, platform_api.ServerOrder)
        outcome = await self._interfaces(call).orders.send(order)
        if isinstance(outcome, platform_api.OrderAccepted):
            return _json_answer(wire.OK, outcome)
        if isinstance(outcome, platform_api.OrderRefused):
            return _json_answer(wire.CONFLICT, outcome)
        return _unavailable_or_unknown(outcome)

    async def _list_servers(self, call: HttpCall) -> HttpAnswer:
        zone = call.params.get("zone", "")
        found = await self._interfaces(call).orders.list_servers(zone)
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        return _json_answer(wire.OK, wire.ServersBody(tuple(found)))

    async def _report(self, call: HttpCall) -> HttpAnswer:
        window = call.path_after(wire.USAGE)
        fencing = int(call.headers.get(wire.FENCING_HEADER, "0"))
        outcome = await self._interfaces(call).usage.report(
            window, call.body, fencing
        )
        if isinstance(outcome, platform_api.ReportAccepted):
            return HttpAnswer(wire.OK)
        if isinstance(outcome, platform_api.ReportRefused):
            return _json_answer(wire.CONFLICT, wire.DetailBody(outcome.detail))
        return _unavailable_or_unknown(outcome)

    async def _reserve(self, call: HttpCall) -> HttpAnswer:
        model = call.path_after(wire.WEIGHTS)
        found = await self._interfaces(call).weights.reserve(model)
        if isinstance(found, platform_api.Unavailable):
            return _unavailable(found)
        return _json_answer(wire.OK, wire.WaitBody(found))


def _json_answer(status: int, body: object) -> HttpAnswer:
    return HttpAnswer(status, serialization.to_json(body))


def _unavailable(outcome: platform_api.Unavailable) -> HttpAnswer:
    return _json_answer(wire.UNAVAILABLE, wire.DetailBody(outcome.detail))


def _unavailable_or_unknown(
    outcome: platform_api.Unavailable | platform_api.Unknown,
) -> HttpAnswer:
    if isinstance(outcome, platform_api.Unavailable):
        return _unavailable(outcome)
    return _NO_ANSWER


def _write_answer(outcome: platform_api.WriteOutcome) -> HttpAnswer:
    if isinstance(outcome, platform_api.Written):
        return _json_answer(wire.OK, wire.VersionBody(outcome.version))
    if isinstance(outcome, platform_api.Conflict):
        return _json_answer(wire.CONFLICT, wire.VersionBody(outcome.version))
    return _unavailable_or_unknown(outcome)


async def _receive_call(scope: asgi.Scope, receive: asgi.Receive) -> HttpCall:
    return HttpCall(
        scope["method"],
        urllib.parse.unquote(scope["raw_path"].decode("ascii")),
        dict(urllib.parse.parse_qsl(scope["query_string"].decode("ascii"))),
        asgi.headers_of(scope),
        await asgi.read_body(receive, platform_api.MAX_OBJECT_BYTES),
    )


async def _send_answer(answer: HttpAnswer, send: asgi.Send) -> None:
    headers = [(b"content-type", answer.content_type), *answer.headers]
    if answer.status is None:
        # The announced body is longer than the one sent, so that the server
        # closes the connection and the client sees an incomplete answer.
        headers.append((b"content-length", b"1"))
        await asgi.send_start(send, wire.OK, headers)
        await asgi.send_body(send, b"", more=False)
    else:
        await asgi.send_complete(send, answer.status, headers, answer.body)


def make_app(platform: platform_memory.MemoryPlatform) -> asgi.Application:
    """Creates the ASGI application that serves a platform."""
    return StandinPlatform(platform)
