"""How requests and answers look on the wire to a backend server.

A dialect writes the request of an attempt and reads what the head of an
answer says; `backend_client` does the exchange. `EngineDialect` is the
product's own; others come with the platform that the daemon runs on.
"""

from typing import Final
from typing import Protocol
import urllib.parse

import attrs

from figstream import attempt_outcome
from figstream import backend_connection
from figstream import backend_server
from figstream import engine_protocol
from figstream import inbound
from figstream import reasons
from figstream import stream_relay

# Everything else stays here, the caller's key above all.
_PASSED_HEADERS: Final = (
    "accept",
    "content-language",
    "content-type",
    inbound.IDEMPOTENCY_HEADER,
)
_REFUSED_STATUSES: Final = frozenset({429, 503})
_R = reasons.RetryReason


@attrs.frozen
class Attempt:
    """What to send where.

    Attributes:
      call: the caller's call.
      server: the backend server.
      relay: the relay to the caller.
      resume: whether to go on after the events that the caller has.
      prompt_source: a server from which this one can copy what it has read
        of the prompt.
    """

    call: inbound.Call
    server: backend_server.BackendServer
    relay: stream_relay.StreamRelay
    resume: bool
    prompt_source: backend_server.BackendServer | None = None


class BackendDialect(Protocol):
    """The wire between daemons and backend servers."""

    @property
    def terminator(self) -> bytes:
        """Returns what a complete stream ends with, b"" for nothing."""

    @property
    def passes_failures(self) -> bool:
        """Returns whether a server's own failure may reach the caller."""

    @property
    def needs_framing(self) -> bool:
        """Returns whether an answer must say where it ends."""

    def request(
        self, attempt: Attempt, left_s: float
    ) -> backend_connection.Request:
        """Returns the request of an attempt.

        Args:
          attempt: what to send.
          left_s: seconds until the call's deadline.
        """

    def load(
        self, head: backend_connection.Head
    ) -> engine_protocol.LoadReport | None:
        """Returns the load that an answer reports."""

    def fault(
        self, attempt: Attempt, head: backend_connection.Head
    ) -> attempt_outcome.Failed | None:
        """Returns why an answer is none for the caller, judged by its head."""

    def cancelling(
        self, call: inbound.Call
    ) -> backend_connection.Request | None:
        """Returns the request that stops a call, if closing is not enough."""


def make_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes = b"",
) -> backend_connection.Request:
    """Creates a request with a length, where it has a body."""
    if body or method in {b"POST", b"PUT", b"PATCH"}:
        headers = [*headers, (b"content-length", str(len(body)).encode())]
    return backend_connection.Request(method, target, tuple(headers), body)


def host_of(server: backend_server.BackendServer) -> bytes:
    """Returns the Host header for a backend server."""
    return urllib.parse.urlsplit(server.url).netloc.encode()


def may_have_run(
    attempt: Attempt, reason: reasons.RetryReason, detail: str = ""
) -> attempt_outcome.Failed:
    """Returns a failure after which the server may have run the call."""
    return attempt_outcome.may_have_run(
        reason, attempt.relay.events_relayed, detail
    )


class EngineDialect:
    """The dialect of the product's own engines and services."""

    terminator: Final = engine_protocol.TERMINATOR
    passes_failures: Final = False
    needs_framing: Final = True

    def request(
        self, attempt: Attempt, left_s: float
    ) -> backend_connection.Request:
        """Returns the request of an attempt."""
        call = attempt.call
        headers = [
            (name, call.http.headers[name])
            for name in _PASSED_HEADERS
            if name in call.http.headers
        ]
        headers.append((engine_protocol.ID_HEADER, call.request_id))
        tier = str(call.request_class.tier)
        headers.append((engine_protocol.TIER_HEADER, tier))
        if attempt.resume:
            events = str(attempt.relay.events_relayed)
            headers.append((engine_protocol.RESUME_HEADER, events))
        query = f"?{call.http.query}" if call.http.query else ""
        return make_request(
            call.http.method.encode(),
            urllib.parse.quote(
                call.http.path + query, safe="/?&=%:,+"
            ).encode(),
            [
                (b"host", host_of(attempt.server)),
                *((k.encode(), v.encode("latin-1")) for k, v in headers),
            ],
            call.http.body,
        )

    def load(
        self, head: backend_connection.Head
    ) -> engine_protocol.LoadReport | None:
        """Returns the load that an answer reports."""
        found = head.get(engine_protocol.LOAD_HEADER.encode()) or b""
        return engine_protocol.parse_load(found.decode("latin-1"))

    def fault(
        self, attempt: Attempt, head: backend_connection.Head
    ) -> attempt_outcome.Failed | None:
        """Returns why an answer is none for the caller, judged by its head."""
        status = head.status
        shown_id = head.get(engine_protocol.ID_HEADER.encode())
        not_run = head.get(engine_protocol.NOT_RUN_HEADER.encode()) is not None
        if status in _REFUSED_STATUSES and not_run:
            return attempt_outcome.not_run(_R.REFUSED_BY_SERVER)
        is_engine = attempt.server.kind is backend_server.ServerKind.ENGINE
        if status >= 500 and (is_engine or shown_id is None):
            lost = shown_id is None
            reason = _R.CONNECTION_LOST if lost else _R.SERVER_ERROR
            return may_have_run(attempt, reason, f"status {status}")
        if shown_id != attempt.call.request_id.encode():
            return may_have_run(attempt, _R.ANSWER_CROSSED)
        return None

    def cancelling(
        self, call: inbound.Call
    ) -> backend_connection.Request | None:
        """Returns the request that stops a call at an engine."""
        if not call.model:
            return None
        path = engine_protocol.CANCEL_PATH + call.request_id
        return make_request(b"DELETE", path.encode(), [(b"host", b"engine")])
