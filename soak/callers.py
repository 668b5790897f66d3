"""Callers that send requests over persistent connections during a soak.

Each request is recorded with its answer; `checks` evaluates the records.
"""

import random
import time
from typing import Final

import anyio
import attrs
import httpx

from figstream_platform import callers as wire
from figstream_platform import standin_program

# The class of a route determines the retries. In order: unsafe (may run once
# only), streaming and safe.
AT_MOST_ONCE_ROUTE: Final = "order"
STREAM_ROUTE: Final = "rewrite"
SAFE_ROUTE: Final = "status"
# A route that the operator removes and adds.
EXTRA_ROUTE: Final = "report"
# Routes that no event removes.
LASTING_ROUTES: Final = (AT_MOST_ONCE_ROUTE, STREAM_ROUTE, SAFE_ROUTE)
# Longer than the time limit of any route.
_DEADLINE_S: Final = 7.0
_PAUSE_BETWEEN_REQUESTS_S: Final = 0.06
_MS_PER_S: Final = 1000
_OK: Final = 200
# Share of requests that the caller cancels, and the time until then.
_CANCELLED_SHARE: Final = 0.05
_CANCEL_AFTER_S: Final = 0.08
_BLOCK_TOKENS: Final = 400
_EVENT_END: Final = b"\n\n"
# Pause before each attempt to resume a broken stream.
_PAUSE_BEFORE_RESUME_S: Final = 0.4


@attrs.define
class SentRequest:
    """One request and its answer; times are in monotonic seconds.

    Attributes:
      request_id: id of the request.
      daemon: number of the daemon that the request was sent to.
      route: name of the route.
      key: API key of the request.
      content: body of the request.
      blocks: hashes of the shared blocks of its prompt.
      resumes: id of the request that began the stream, "" for a new one.
      after: number of events of the stream that the caller has.
      at: time of sending.
      patient_until: time until which the caller waits, also for a resumed
        stream.
      ended_at: time when the answer was complete or failed.
      status: status of the answer, 0 if none arrived.
      headers: headers of the answer.
      body: received part of the body.
      whole: whether the answer arrived complete.
      cancelled: whether the caller cancelled the request.
      fault: name of the error that ended the request, if any.
    """

    request_id: str
    daemon: int
    route: str
    key: str
    content: bytes
    blocks: tuple[str, ...] = ()
    resumes: str = ""
    after: int = 0
    at: float = attrs.field(factory=time.monotonic)
    patient_until: float = attrs.field(
        factory=lambda: time.monotonic() + _DEADLINE_S
    )
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    whole: bool = False
    cancelled: bool = False
    fault: str = ""

    @property
    def events(self) -> int:
        """Returns the number of events that the caller has."""
        return self.after + self.body.count(_EVENT_END)

    @property
    def broken(self) -> bool:
        """Returns whether a stream broke that its caller may resume."""
        stream = self.route == STREAM_ROUTE and self.events > 0
        return stream and not self.whole and not self.cancelled


class Callers:
    """Sends requests to daemons until `stopping` is set."""

    def __init__(self, ports: list[int], seed: int) -> None:
        """Initializes callers of some ports.

        Args:
          ports: ports of the daemons.
          seed: seed of the draws of routes, pauses and cancellations.
        """
        self._urls = [f"http://127.0.0.1:{port}" for port in ports]
        self._random = random.Random(seed)
        self.sent: list[SentRequest] = []
        self.stopping = False

    async def run(self, count: int) -> None:
        """Runs a number of callers, distributed evenly over the daemons."""
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(
                    self._send_until_stopped, number % len(self._urls)
                )

    async def send_request(
        self,
        client: httpx.AsyncClient,
        daemon: int,
        route: str,
        key: str = standin_program.KEY,
        content: bytes = b"",
        blocks: tuple[str, ...] = (),
        resumed: SentRequest | None = None,
    ) -> SentRequest:
        """Sends one request and returns the record of its answer.

        Args:
          client: the client to send it with.
          daemon: number of the daemon.
          route: name of the route.
          key: API key.
          content: body, the id of the request by default.
          blocks: hashes of the shared blocks of its prompt.
          resumed: the request whose stream this one resumes.
        """
        request_id = f"{len(self.sent):06x}"
        sent = SentRequest(
            request_id,
            daemon,
            route,
            key,
            content or request_id.encode(),
            blocks,
        )
        if resumed:
            sent.resumes = resumed.resumes or resumed.request_id
            sent.after = resumed.events
            sent.patient_until = resumed.patient_until
        self.sent.append(sent)
        cancels = self._random.random() < _CANCELLED_SHARE
        limit_s = _CANCEL_AFTER_S if cancels else _DEADLINE_S
        with anyio.move_on_after(limit_s) as scope:
            await self._exchange(client, sent)
        sent.cancelled = scope.cancelled_caught
        sent.ended_at = time.monotonic()
        return sent

    async def _send_until_stopped(self, daemon: int) -> None:
        async with httpx.AsyncClient(timeout=_DEADLINE_S) as client:
            while not self.stopping:
                route = self._random.choice(LASTING_ROUTES)
                if route == STREAM_ROUTE:
                    await self.send_stream(client, daemon)
                else:
                    await self.send_request(client, daemon, route)
                await anyio.sleep(
                    _PAUSE_BETWEEN_REQUESTS_S * self._random.uniform(0.5, 1.5)
                )

    async def send_stream(self, client: httpx.AsyncClient, daemon: int) -> None:
        """Sends a stream; resumes it at other daemons while it is broken."""
        sent = await self.send_request(client, daemon, STREAM_ROUTE)
        last_at = sent.patient_until - _PAUSE_BEFORE_RESUME_S
        while sent.broken and time.monotonic() < last_at:
            await anyio.sleep(_PAUSE_BEFORE_RESUME_S)
            again = await self.send_request(
                client,
                (sent.daemon + 1) % len(self._urls),
                sent.route,
                content=sent.content,
                resumed=sent,
            )
            if again.status == _OK:
                sent = again
            else:
                sent = attrs.evolve(sent, daemon=again.daemon)

    async def _exchange(
        self, client: httpx.AsyncClient, sent: SentRequest
    ) -> None:
        headers = {
            "host": standin_program.HOST,
            wire.REQUEST_ID.decode(): sent.request_id,
            wire.AUTHORIZATION.decode(): f"Bearer {sent.key}",
            wire.REMAINING_MS.decode(): str(_remaining_ms(sent)),
        }
        if sent.blocks:
            # The last block belongs to the request alone.
            blocks = (*sent.blocks, f"f{sent.request_id}")
            text = ",".join(f"{item}:{_BLOCK_TOKENS}" for item in blocks)
            headers[wire.PROMPT_BLOCKS.decode()] = text
        if sent.resumes:
            headers[wire.RESUMES.decode()] = sent.resumes
            headers[wire.RESUME_AFTER.decode()] = str(sent.after)
        if sent.route == STREAM_ROUTE:
            headers["accept"] = "text/event-stream"
        try:
            async with client.stream(
                "POST",
                f"{self._urls[sent.daemon]}/{sent.route}/x",
                headers=headers,
                content=sent.content,
            ) as answer:
                sent.status = answer.status_code
                sent.headers = dict(answer.headers)
                async for chunk in answer.aiter_raw():
                    sent.body += chunk
                sent.whole = True
        except httpx.HTTPError as error:
            sent.fault = type(error).__name__


def _remaining_ms(sent: SentRequest) -> int:
    """Returns the milliseconds for which the caller still waits."""
    left_s = sent.patient_until - time.monotonic()
    return max(1, int(left_s * _MS_PER_S))
