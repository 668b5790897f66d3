"""Implements a stand-in plain service that records the effect of each call.

Tests check by these records that no call ran twice.
"""

from collections.abc import Mapping
import time
from typing import Final

import anyio
import attrs
import orjson

from figstream import asgi
from figstream import engine_protocol
from figstream import serialization

_BODY_LIMIT_BYTES: Final = 50_000_000


@attrs.define
class ServiceFaults:
    """Faults of a service that a test can set.

    Attributes:
      delay_s: duration of a call.
      deaths_left: how many of the next calls take effect but get no answer.
      refuse: refuses every call before running it.
      no_content: answers 204, which has neither body nor length.
    """

    delay_s: float = 0.0
    deaths_left: int = 0
    refuse: bool = False
    no_content: bool = False


@attrs.frozen
class Effect:
    """The effect of a call that ran."""

    method: str
    path: str
    query: str
    body: bytes


class ServiceDeathError(Exception):
    """Raised where a real service would crash after the effect."""


class StandInService:
    """A stand-in plain service; `application` is its ASGI entry point."""

    def __init__(self, name: str) -> None:
        """Initializes a service without effects and faults."""
        self.name = name
        self.faults = ServiceFaults()
        self.effects: list[Effect] = []
        self.received_headers: list[Mapping[str, str]] = []
        self._running = 0
        self._started = time.time_ns()

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        headers = asgi.headers_of(scope)
        load = engine_protocol.LoadReport(self._running, 0, self._started)
        if scope["path"] == engine_protocol.LOAD_PATH:
            load_headers = [
                (b"content-type", asgi.JSON),
                (
                    engine_protocol.LOAD_HEADER.encode(),
                    load.to_header().encode(),
                ),
            ]
            await asgi.send_complete(
                send, 200, load_headers, serialization.to_json(load)
            )
            return
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        if scope["path"] == "/faults":
            self.faults = serialization.from_json(body, ServiceFaults)
            await asgi.send_complete(send, 200, [], b"{}")
            return
        self.received_headers.append(headers)
        self._running += 1
        try:
            await self._call(scope, headers, body, send)
        finally:
            self._running -= 1

    async def _call(
        self,
        scope: asgi.Scope,
        headers: Mapping[str, str],
        body: bytes,
        send: asgi.Send,
    ) -> None:
        request_id = headers.get(engine_protocol.ID_HEADER, "")
        answer_headers = [
            (b"content-type", asgi.JSON),
            (engine_protocol.ID_HEADER.encode(), request_id.encode()),
        ]
        if self.faults.refuse:
            not_run = (engine_protocol.NOT_RUN_HEADER.encode(), b"true")
            await asgi.send_complete(
                send, 503, [*answer_headers, not_run], b'{"error":"busy"}'
            )
            return
        self.effects.append(
            Effect(
                scope["method"],
                scope["path"],
                scope["query_string"].decode(),
                body,
            )
        )
        await anyio.sleep(self.faults.delay_s)
        if self.faults.deaths_left > 0:
            self.faults.deaths_left -= 1
            raise ServiceDeathError("the service crashed after the effect")
        if self.faults.no_content:
            await asgi.send_start(send, 204, answer_headers)
            await asgi.send_body(send, b"", more=False)
            return
        answer = orjson.dumps(
            {"service": self.name, "effect": len(self.effects)}
        )
        await asgi.send_complete(send, 200, answer_headers, answer)
