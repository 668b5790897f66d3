"""Implements `figstream demo`: a complete system in one process under load.

The demo sends a mixed load, prints the results by request class and by
customer, and fails if one of the guarantees that it checks was violated.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import statistics
from typing import Final

import anyio
import attrs
import httpx

from figstream import demo_stack
from figstream import inbound
from figstream import load_client
from figstream import logs

DURATION_S: Final = 5.0
_SEED: Final = 1
_SENDS_PER_DAEMON: Final = 3
_BOOKINGS: Final = 4
_WITHDRAWAL_LIMIT_S: Final = 3.0


@attrs.frozen
class GuaranteeCheck:
    """The result of checking one guarantee."""

    name: str
    held: bool
    observed: str


def run(duration_s: float = DURATION_S) -> bool:
    """Runs the demo; returns whether every guarantee held."""
    logs.configure("error")
    return anyio.run(_demonstrate, duration_s)


async def _demonstrate(duration_s: float) -> bool:
    async with demo_stack.run_stack(demo_stack.StackOptions()) as stack:
        print(
            f"{len(stack.daemons)} daemons, {len(stack.engines)} engines, 1 "
            f"plain service, {len(demo_stack.ZONES)} availability zones; "
            f"{duration_s:g} s of load"
        )
        items = load_client.plan(_streams(stack), duration_s, _SEED)
        results = await load_client.send(items)
        print(_class_table(results, stack))
        checks = [
            _check_answers_complete(results),
            _check_refusals_not_run(results),
            await _check_runs_once(stack),
            _check_keys_not_forwarded(stack),
            await _check_withdrawn_key_rejected(stack),
        ]
        print(_usage_table(stack))
        for check in checks:
            verdict = "kept" if check.held else "BROKEN"
            print(f"{verdict:7} {check.name}: {check.observed}")
        return all(check.held for check in checks)


def _streams(stack: demo_stack.Stack) -> Iterable[load_client.LoadStream]:
    shapes = (("chat", 4.0, 20, True), ("batch", 2.0, 60, False))
    urls = [stack.url(number) for number in range(len(stack.daemons))]
    for url, (customer, key), shape in itertools.product(
        urls, stack.keys.items(), shapes
    ):
        name, rate_per_s, tokens, stream = shape
        yield load_client.LoadStream(
            url, key, customer, name, demo_stack.MODEL, rate_per_s, tokens,
            stream,
        )  # fmt: skip


def _class_table(
    results: Sequence[load_client.LoadResult], stack: demo_stack.Stack
) -> str:
    rows = [
        f"{'class':8}{'sent':>6}{'answered':>10}{'attained':>10}"
        f"{'first p95':>11}{'between p95':>13}  refused"
    ]
    names = sorted({result.item.request_class for result in results})
    for name in names:
        level = stack.configuration.classes_by_name[name].service_level
        class_results = [
            item for item in results if item.item.request_class == name
        ]
        complete = [item for item in class_results if item.complete]
        attained = [
            item
            for item in complete
            if item.total_s <= level.deadline_s
            and (
                not item.item.stream or item.first_byte_s <= level.first_token_s
            )
        ]
        refused = collections.Counter(i.code for i in class_results if i.code)
        streamed = [item for item in complete if item.item.stream]
        rows.append(
            f"{name:8}{len(class_results):6}{len(complete):10}"
            f"{len(attained) / len(class_results):10.1%}"
            f"{_p95([i.first_byte_s for i in streamed]):>11}"
            f"{_p95([i.token_interval_s for i in streamed]):>13}"
            f"  {dict(refused) or '-'}"
        )
    return "\n".join(rows)


def _usage_table(stack: demo_stack.Stack) -> str:
    rows = [f"{'customer':10}{'requests':>10}{'prompt':>10}{'output':>10}"]
    for name in sorted(stack.keys):
        totals = [
            daemon.usage.by_customer[name]
            for daemon in stack.daemons
            if name in daemon.usage.by_customer
        ]
        rows.append(
            f"{name:10}{sum(item.requests for item in totals):10}"
            f"{sum(item.prompt_tokens for item in totals):10}"
            f"{sum(item.output_tokens for item in totals):10}"
        )
    return "\n".join(rows)


def _p95(values: Sequence[float]) -> str:
    """Returns the 95th percentile as text, or "-" for fewer than two values."""
    if len(values) < 2:
        return "-"
    return f"{statistics.quantiles(values, n=20)[-1]:.4f} s"


def _check_answers_complete(
    results: Sequence[load_client.LoadResult],
) -> GuaranteeCheck:
    answered = [item for item in results if not item.code]
    complete = [item for item in answered if item.complete]
    return GuaranteeCheck(
        "complete answers to the right callers",
        bool(answered) and len(complete) == len(answered),
        f"{len(complete)} of {len(answered)}",
    )


def _check_refusals_not_run(
    results: Sequence[load_client.LoadResult],
) -> GuaranteeCheck:
    refused = [item for item in results if item.code]
    possibly_run = [item for item in refused if item.run_state != "not_run"]
    return GuaranteeCheck(
        "every refusal under this load is a true 'not run'",
        not possibly_run,
        f"{len(refused)} refused, {len(possibly_run)} of them may have run",
    )


async def _check_runs_once(stack: demo_stack.Stack) -> GuaranteeCheck:
    customer, key = next(iter(stack.keys.items()))
    before = len(stack.service.effects)
    async with httpx.AsyncClient() as client:
        for number, url in itertools.product(
            range(_BOOKINGS), _urls(stack) * _SENDS_PER_DAEMON
        ):
            await client.post(
                f"{url}/bookings/hold",
                json={"bay": number},
                headers={
                    "authorization": f"Bearer {key}",
                    inbound.IDEMPOTENCY_HEADER: f"{customer}-{number}",
                },
            )
    effects = len(stack.service.effects) - before
    return GuaranteeCheck(
        "a deposit hold runs once, however often it is sent",
        effects == _BOOKINGS,
        f"{effects} effects of {_BOOKINGS} holds sent "
        f"{len(stack.daemons) * _SENDS_PER_DAEMON} times each",
    )


def _check_keys_not_forwarded(stack: demo_stack.Stack) -> GuaranteeCheck:
    secrets = [key.rpartition("-")[2] for key in stack.keys.values()]
    observed = [engine.received_headers for engine in stack.engines]
    text = str([*observed, stack.service.received_headers])
    found = [secret for secret in secrets if secret in text]
    requests = sum(len(headers) for headers in observed)
    return GuaranteeCheck(
        "no backend server sees a key",
        not found and requests > 0,
        f"{requests} requests checked",
    )


async def _check_withdrawn_key_rejected(
    stack: demo_stack.Stack,
) -> GuaranteeCheck:
    customer, key = next(iter(stack.keys.items()))
    await stack.withdraw_key(customer)
    limit = anyio.current_time() + _WITHDRAWAL_LIMIT_S
    refused = 0
    async with httpx.AsyncClient() as client:
        for url in _urls(stack):
            while anyio.current_time() < limit:
                answer = await client.get(
                    f"{url}/v1/models",
                    headers={"authorization": f"Bearer {key}"},
                )
                if answer.status_code == 401:
                    refused += 1
                    break
                await anyio.sleep(0.02)
    return GuaranteeCheck(
        f"a withdrawn key stops working within {_WITHDRAWAL_LIMIT_S:g} s",
        refused == len(stack.daemons),
        f"refused by {refused} of {len(stack.daemons)} daemons",
    )


def _urls(stack: demo_stack.Stack) -> list[str]:
    return [stack.url(number) for number in range(len(stack.daemons))]
