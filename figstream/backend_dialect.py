"""Wire formats of requests to and answers from backend servers.

A dialect encodes the request of an attempt and interprets the head of its
answer; `backend_client` performs the exchange. `EngineDialect` is the
product's own format; platform adapters provide others.
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
from figstream import server_announcements
from figstream import stream_relay

# Headers passed on to servers. All others are dropped, so that above all the
# caller's key does not leave the daemon.
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
    """One attempt to run a call at a backend server.

    Attributes:
      call: the caller's call.
      server: the backend server.
      relay: the relay to the caller.
      resume: whether the server continues after the events that the caller
        has already received.
      prompt_source: a server from which this one can copy the result of its
        prefill.
    """

    call: inbound.Call
    server: backend_server.BackendServer
    relay: stream_relay.StreamRelay
    resume: bool
    prompt_source: backend_server.BackendServer | None = None


class BackendDialect(Protocol):
    """Wire format between daemons and backend servers."""

    @property
    def terminator(self) -> bytes:
        """Returns the bytes that end a complete stream, b"" if none."""

    @property
    def passes_server_errors(self) -> bool:
        """Returns whether a server's error answers are passed to callers."""

    @property
    def needs_framing(self) -> bool:
        """Returns whether headers must determine where an answer ends."""

    def request(
        self, attempt: Attempt, left_s: float
    ) -> backend_connection.Request:
        """Returns the request of an attempt.

        Args:
          attempt: the attempt to encode.
          left_s: seconds until the call's deadline.
        """

    def load(
        self, head: backend_connection.Head
    ) -> engine_protocol.LoadReport | None:
        """Returns the load reported in an answer's head, None if absent."""

    def fault(
        self, attempt: Attempt, head: backend_connection.Head
    ) -> attempt_outcome.Failed | None:
        """Returns the failure that an answer's head indicates, None if none."""

    def announcement(
        self, head: backend_connection.Head
    ) -> server_announcements.Announcement | None:
        """Returns what an answer says about the server it was sent to.

        Returns None if the dialect has no announcements, or if the answer is
        that of another server.
        """

    def cancel_request(
        self, call: inbound.Call
    ) -> backend_connection.Request | None:
        """Returns the request that cancels a call.

        None if closing the connection is enough.
        """


def make_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes = b"",
) -> backend_connection.Request:
    """Creates a request; adds the length if a body or its method needs it."""
    if body or method in {b"POST", b"PUT", b"PATCH"}:
        headers = [*headers, (b"content-length", str(len(body)).encode())]
    return backend_connection.Request(method, target, tuple(headers), body)


def host_and_port(server: backend_server.BackendServer) -> bytes:
    """Returns host and port of a backend server, as in a Host header."""
    return urllib.parse.urlsplit(server.url).netloc.encode()


def may_have_run(
    attempt: Attempt, reason: reasons.RetryReason, detail: str = ""
) -> attempt_outcome.Failed:
    """Returns a failure after which the server may have run the call."""
    return attempt_outcome.may_have_run(
        reason, attempt.relay.events_relayed, detail
    )


class EngineDialect:
    """Wire format of the product's own engines and services."""

    terminator: Final = engine_protocol.TERMINATOR
    passes_server_errors: Final = False
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
                (b"host", host_and_port(attempt.server)),
                *((k.encode(), v.encode("latin-1")) for k, v in headers),
            ],
            call.http.body,
        )

    def load(
        self, head: backend_connection.Head
    ) -> engine_protocol.LoadReport | None:
        """Returns the load reported in an answer's head, None if absent."""
        load_header = head.get(engine_protocol.LOAD_HEADER.encode()) or b""
        return engine_protocol.parse_load(load_header.decode("latin-1"))

    def fault(
        self, attempt: Attempt, head: backend_connection.Head
    ) -> attempt_outcome.Failed | None:
        """Returns the failure that an answer's head indicates, None if none."""
        status = head.status
        answer_id = head.get(engine_protocol.ID_HEADER.encode())
        expected_id = attempt.call.request_id.encode()
        if answer_id is not None and answer_id != expected_id:
            return may_have_run(attempt, _R.ANSWER_CROSSED)
        not_run = head.get(engine_protocol.NOT_RUN_HEADER.encode()) is not None
        matched = answer_id is not None or head.first
        if status in _REFUSED_STATUSES and not_run and matched:
            return attempt_outcome.not_run(_R.REFUSED_BY_SERVER)
        is_engine = attempt.server.kind is backend_server.ServerKind.ENGINE
        if status >= 500 and (is_engine or answer_id is None):
            lost = answer_id is None
            reason = _R.CONNECTION_LOST if lost else _R.SERVER_ERROR
            return may_have_run(attempt, reason, f"status {status}")
        if answer_id is None:
            return may_have_run(attempt, _R.ANSWER_CROSSED)
        return None

    def announcement(
        self, head: backend_connection.Head
    ) -> server_announcements.Announcement | None:
        """Returns None: leaving servers are announced in notices."""
        return None

    def cancel_request(
        self, call: inbound.Call
    ) -> backend_connection.Request | None:
        """Returns the request that cancels a call at an engine."""
        if not call.model:
            return None
        path = engine_protocol.CANCEL_PATH + call.request_id
        return make_request(b"DELETE", path.encode(), [(b"host", b"engine")])
