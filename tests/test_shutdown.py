"""Tests of a daemon as a separate process: shutdown and child processes."""

from collections.abc import Iterator
import pathlib
import signal

import httpx
import psutil
import pytest

from figstream import demo_stack
from figstream import inbound
from tests import processes

_ENGINE = (
    "[engine]\nname = engine-0\nport = 0\nbetween_tokens_s = 0.02\n"
    f"models = {demo_stack.MODEL}\n"
)


@pytest.fixture
def daemon(
    tmp_path: pathlib.Path,
) -> Iterator[tuple[processes.RunningProcess, str]]:
    platform_words = ("stand-in", "platform")
    engine_words = ("stand-in", "engine")
    with (
        processes.running(
            tmp_path, platform_words, "[platform]\nport = 0\n"
        ) as platform,
        processes.running(tmp_path, engine_words, _ENGINE) as engine,
    ):
        made, key = processes.one_engine_configuration(engine.url)
        processes.accept(platform.url, made)
        settings = processes.daemon_settings("entry-0", "a", platform.url)
        with processes.running(tmp_path, ("serve",), settings) as started:
            processes.wait_until_ready(started.url)
            yield started, key


@pytest.mark.parametrize("later", ["SIGTERM", "SIGINT", "SIGHUP"])
@pytest.mark.parametrize("first", ["SIGTERM", "SIGHUP"])
def test_stream_in_flight_at_signals_ends_whole(
    daemon: tuple[processes.RunningProcess, str], first: str, later: str
) -> None:
    """Fails if `shut_down` cancels requests, or a later signal ends them."""
    started, key = daemon
    body = {"model": demo_stack.MODEL, "stream": True, "max_tokens": 60}
    with httpx.stream(
        "POST",
        started.url + inbound.CHAT_PATH,
        json=body,
        headers={"authorization": f"Bearer {key}"},
        timeout=30.0,
    ) as answer:
        chunks = answer.iter_raw()
        text = next(chunks)
        started.process.send_signal(signal.Signals[first])
        text += next(chunks)
        started.process.send_signal(signal.SIGTERM)
        text += next(chunks)
        started.process.send_signal(signal.Signals[later])
        text += b"".join(chunks)
    assert text.count(b'"content":"w') == 60
    assert text.endswith(b"data: [DONE]\n\n")
    assert started.process.wait(30) == 0


def test_daemon_starts_no_other_process(
    daemon: tuple[processes.RunningProcess, str],
) -> None:
    started, _ = daemon
    assert psutil.Process(started.process.pid).children(recursive=True) == []
