"""Tests of odd headers of callers and servers: any value is read or refused."""

import hypothesis
from hypothesis import strategies
import pytest

from figstream import backend_connection
from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration
from figstream import configuration_holder
from figstream import errors
from figstream import gateway_dialect
from figstream import inbound
from figstream import metrics
from figstream import placement
from figstream import request_class
from figstream import scheduler
from figstream import scheduler_api
from figstream import server_announcements
from figstream import usage_api
from figstream import usage_codec
from figstream import usage_delta
from figstream_platform import callers
from figstream_platform import standin_worker
from figstream_platform import workers
from tests import gateway_front

_NUMBERS = strategies.one_of(
    strategies.integers(-10, 10**40).map(str),
    strategies.floats().map(str),
    strategies.sampled_from(["9" * 20, "9" * 400, "1e308", "0x10", "1_0", ""]),
)
_TEXTS = strategies.one_of(
    _NUMBERS,
    strategies.lists(_NUMBERS, max_size=4).map(",".join),
    strategies.lists(
        strategies.tuples(_NUMBERS, _NUMBERS).map(":".join), max_size=4
    ).map(",".join),
    strategies.text(strategies.characters(max_codepoint=255), max_size=40),
)
_VALUES = _TEXTS.map(lambda text: text.encode("latin-1"))
_CALLER_HEADERS = (
    callers.REMAINING_MS,
    callers.TOKEN_COUNTS,
    callers.PROMPT_BLOCKS,
    callers.OUTPUT_LENGTH_HINT,
    callers.RESUME_AFTER,
    callers.RESUMES,
    callers.AUTHORIZATION,
    b"connection",
)
_SERVER_HEADERS = (
    workers.LOAD,
    workers.LEAVING,
    workers.LIMIT,
    workers.BRITTLE,
    workers.RETRY_AFTER,
    workers.NOT_RUN,
    workers.SIGNATURE,
    callers.REQUEST_ID,
    workers.COLD,
)
_CLASS = request_class.RequestClass("order")
_SERVERS = tuple(
    backend_server.BackendServer(
        name,
        f"http://{name}",
        "a",
        kind=backend_server.ServerKind.SERVICE,
        service="render",
        slots=8,
    )
    for name in ("i-1", "i-2")
)


def _read(
    headers: dict[bytes, bytes],
) -> gateway_dialect.CallerHead | errors.Refusal:
    scope = {
        "method": "POST",
        "raw_path": b"/order/x",
        "query_string": b"",
        "headers": [
            (b"host", b"x"),
            (callers.REQUEST_ID, b"r1"),
            *headers.items(),
        ],
    }
    return callers.PlatformCallers().read(scope)


def _check_billable(prompt: inbound.Prompt) -> None:
    """Checks that the usage of a prompt can be handed over."""
    item = usage_api.UsageItem("c", "k", 1, prompt.tokens, 0)
    run = usage_delta.RunId("entry", 1)
    delta = usage_delta.UsageDelta(usage_delta.DeltaId(run, 1), 0, (item,) * 9)
    decoded = usage_codec.decode_delta(usage_codec.encode_delta(delta))
    assert decoded.items[0].prompt_tokens == prompt.tokens


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(_CALLER_HEADERS), _VALUES)
)
def test_odd_headers_of_callers_are_read_or_refused(
    headers: dict[bytes, bytes],
) -> None:
    head = _read(headers)
    if isinstance(head, errors.Refusal):
        return
    prompt = head.prompt
    assert 0 <= prompt.tokens <= callers.MAX_COUNT
    assert 0 <= prompt.max_output_tokens <= callers.MAX_COUNT
    assert 0 <= prompt.likely_output_tokens <= callers.MAX_COUNT
    assert head.wait_s is None or head.wait_s >= 0.0
    _check_billable(prompt)


def _scheduler() -> scheduler_api.Scheduler:
    """Returns a scheduler with two servers of one service."""
    made = scheduler.make_scheduler_with(
        "a", lambda book, _: placement.make_placement(book, "a")
    )
    made.set_configuration(configuration.Configuration(servers=_SERVERS))
    made.set_live_daemons(1, 1)
    return made


def _dispatched(made: scheduler_api.Scheduler, at: float, number: int) -> bool:
    """Returns whether a request is sent to a server at once, and ends it."""
    request = scheduler_api.PendingRequest(
        f"r{number}", "c", _CLASS, at, at + 9.0, service="render"
    )
    assert made.offer(request, at) is None
    for decision in made.poll(at):
        if isinstance(decision, scheduler_api.Dispatched):
            report = scheduler_api.AttemptReport(
                scheduler_api.AttemptResult.ANSWERED
            )
            made.finish(request, decision.server, report, at)
            return True
    made.withdraw(request, at)
    return False


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(_SERVER_HEADERS), _VALUES),
    strategies.sampled_from([200, 400, 408, 421, 429, 500, 503]),
    strategies.floats(0.0, 9.0),
)
@hypothesis.example({workers.LIMIT: b"1" + b"0" * 308}, 200, 0.0)
@hypothesis.example({workers.LIMIT: b"1e-320"}, 200, 0.0)
@hypothesis.example({workers.BRITTLE: b"1e308"}, 503, 1.0)
@hypothesis.example({workers.COLD: b"1e308"}, 200, 1.0)
def test_odd_headers_of_servers_end_no_request(
    headers: dict[bytes, bytes], status: int, after_s: float
) -> None:
    """Fails if the headers of one server stop requests for another one."""
    dialect = workers.WorkerDialect()
    head = backend_connection.Head(status, tuple(headers.items()))
    load = dialect.load(head)
    assert load is None or load.running >= 0
    announcement = dialect.announcement(head)
    assert announcement is None or announcement.pause_s >= 0.0
    clock = clock_lib.ManualClock(1.7e9)
    made = _scheduler()
    announcements = server_announcements.make_server_announcements(
        made,
        configuration_holder.ConfigurationHolder(clock),
        clock,
        metrics.make_unexported_metrics(),
    )
    if announcement:
        announcements.receive(_SERVERS[0], announcement, clock.now())
    if load:
        made.report_load(
            scheduler_api.ServerLoad(
                "i-1", load.running, load.waiting, clock.now()
            )
        )
    clock.advance(after_s)
    assert all(_dispatched(made, clock.now(), x) for x in range(3))


@pytest.mark.anyio
async def test_a_prompt_of_twenty_digits_is_served() -> None:
    worker = standin_worker.Worker()
    async with gateway_front.front(worker) as front:
        answer = await front.send_request("order", x_token_count="9" * 20)
        assert answer.status_code == 200
        assert worker.runs[0].headers["x-token-count"] == "9" * 20
