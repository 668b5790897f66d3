"""Makes one attempt at a backend server and tags how it ended."""

from collections.abc import Callable
import contextlib
from typing import Final

import anyio
import attrs
import httpcore
import httpx

from figstream import attempt_outcome
from figstream import backend_server
from figstream import backend_transport
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
_CANCEL_TIMEOUT_S: Final = 1.0
_PROBE_TIMEOUT_S: Final = 1.0
_REFUSED_STATUSES: Final = frozenset({429, 503})
_R = reasons.RetryReason

LoadListener = Callable[[str, engine_protocol.LoadReport], None]


@attrs.frozen
class Attempt:
    """What to send where.

    Attributes:
      call: the caller's call.
      server: the backend server.
      relay: the relay to the caller.
      resume: whether to go on after the events that the caller has.
    """

    call: inbound.Call
    server: backend_server.BackendServer
    relay: stream_relay.StreamRelay
    resume: bool


class BackendClient:
    """The connections to backend servers."""

    def __init__(self, on_load: LoadListener) -> None:
        """Hands load reports in answers to a listener."""
        self._client = httpx.AsyncClient(
            transport=backend_transport.BackendTransport(), timeout=None
        )
        self._on_load = on_load

    async def attempt(self, attempt: Attempt) -> attempt_outcome.AttemptOutcome:
        """Sends the call to the server and relays the answer."""
        try:
            outcome = await self._exchange(attempt)
            if isinstance(outcome, attempt_outcome.Answered):
                return outcome
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return attempt_outcome.not_run(
                _R.CONNECT_FAILED, type(error).__name__
            )
        except httpcore.ReadTimeout:
            outcome = self._failed(attempt, _R.IDLE_TIMEOUT)
        except stream_relay.AnswerTooLongError:
            outcome = self._failed(attempt, _R.SERVER_ERROR, "too long")
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            detail = type(error).__name__
            return self._failed(attempt, _R.CONNECTION_LOST, detail)
        except anyio.get_cancelled_exc_class():
            await self._cancel(attempt)
            raise
        if outcome.run_state is not reasons.RunState.NOT_RUN:
            await self._cancel(attempt)
        return outcome

    async def probe(
        self, server: backend_server.BackendServer
    ) -> engine_protocol.LoadReport | None:
        """Asks a server for its load; None if it does not answer."""
        url = server.url + engine_protocol.LOAD_PATH
        with anyio.move_on_after(_PROBE_TIMEOUT_S):
            try:
                response = await self._client.get(url)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                return None
            if response.status_code != 200:
                return None
            return _load_of(response)
        return None

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _exchange(
        self, attempt: Attempt
    ) -> attempt_outcome.AttemptOutcome:
        timeouts = attempt.call.request_class.timeouts
        response: httpx.Response | None = None
        with anyio.move_on_after(timeouts.first_byte_s):
            response = await self._client.send(
                self._request(attempt), stream=True
            )
        if response is None:
            return self._failed(attempt, _R.FIRST_BYTE_TIMEOUT)
        try:
            return await self._receive(attempt, response)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _receive(
        self, attempt: Attempt, response: httpx.Response
    ) -> attempt_outcome.AttemptOutcome:
        if load := _load_of(response):
            self._on_load(attempt.server.name, load)
        if fault := self._fault_of(attempt, response):
            return fault
        if stream_relay.is_event_stream(response):
            return await self._receive_events(attempt, response)
        if not _is_framed(response):
            return self._failed(attempt, _R.ANSWER_TRUNCATED, "no length")
        body = await stream_relay.read_whole(response)
        kind = response.headers.get("content-type", "application/octet-stream")
        return attempt_outcome.Answered(
            response.status_code, kind.encode(), body
        )

    async def _receive_events(
        self, attempt: Attempt, response: httpx.Response
    ) -> attempt_outcome.AttemptOutcome:
        await attempt.relay.relay_events(
            response, attempt.call.request_class.timeouts.idle_s
        )
        if not attempt.relay.monitor.whole:
            return self._failed(attempt, _R.ANSWER_TRUNCATED)
        kind = response.headers["content-type"].encode()
        return attempt_outcome.Answered(response.status_code, kind)

    def _fault_of(
        self, attempt: Attempt, response: httpx.Response
    ) -> attempt_outcome.Failed | None:
        status = response.status_code
        shown_id = response.headers.get(engine_protocol.ID_HEADER)
        if status in _REFUSED_STATUSES and _says_not_run(response):
            return attempt_outcome.not_run(_R.REFUSED_BY_SERVER)
        is_engine = attempt.server.kind is backend_server.ServerKind.ENGINE
        if status >= 500 and (is_engine or shown_id is None):
            lost = shown_id is None
            reason = _R.CONNECTION_LOST if lost else _R.SERVER_ERROR
            return self._failed(attempt, reason, f"status {status}")
        if shown_id != attempt.call.request_id:
            return self._failed(attempt, _R.ANSWER_CROSSED)
        return None

    def _failed(
        self,
        attempt: Attempt,
        reason: reasons.RetryReason,
        detail: str = "",
    ) -> attempt_outcome.Failed:
        return attempt_outcome.may_have_run(
            reason, attempt.relay.events_relayed, detail
        )

    def _request(self, attempt: Attempt) -> httpx.Request:
        call = attempt.call
        timeouts = call.request_class.timeouts
        headers = {
            name: call.http.headers[name]
            for name in _PASSED_HEADERS
            if name in call.http.headers
        }
        headers[engine_protocol.ID_HEADER] = call.request_id
        headers[engine_protocol.TIER_HEADER] = str(call.request_class.tier)
        if attempt.resume:
            events = attempt.relay.events_relayed
            headers[engine_protocol.RESUME_HEADER] = str(events)
        query = f"?{call.http.query}" if call.http.query else ""
        return self._client.build_request(
            call.http.method,
            attempt.server.url + call.http.path + query,
            content=call.http.body,
            headers=headers,
            timeout=httpx.Timeout(
                None,
                connect=timeouts.connect_s,
                read=max(timeouts.idle_s, timeouts.first_byte_s),
            ),
        )

    async def _cancel(self, attempt: Attempt) -> None:
        if attempt.server.kind is not backend_server.ServerKind.ENGINE:
            return
        path = engine_protocol.CANCEL_PATH + attempt.call.request_id
        with anyio.move_on_after(_CANCEL_TIMEOUT_S, shield=True):
            with contextlib.suppress(
                httpcore.NetworkError, httpcore.ProtocolError
            ):
                await self._client.delete(attempt.server.url + path)


def _load_of(response: httpx.Response) -> engine_protocol.LoadReport | None:
    return engine_protocol.parse_load(
        response.headers.get(engine_protocol.LOAD_HEADER, "")
    )


def _says_not_run(response: httpx.Response) -> bool:
    return engine_protocol.NOT_RUN_HEADER in response.headers


def _is_framed(response: httpx.Response) -> bool:
    return bool({"content-length", "transfer-encoding"} & set(response.headers))
