"""Runs commands of figstream as separate processes for tests."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import pathlib
import subprocess
import sys
from typing import Final

import anyio
import attrs
import httpx

from figstream import api_key
from figstream import clock
from figstream import configuration
from figstream import configuration_store
from figstream import demo_stack
from figstream import platform_http

SOURCE_COMMAND: Final = (sys.executable, "-m", "figstream")
_STOP_TIMEOUT_S: Final = 30.0


@attrs.frozen
class RunningProcess:
    """A running process and the URL that it printed first."""

    process: subprocess.Popen[str]
    url: str


@contextlib.contextmanager
def running(
    folder: pathlib.Path,
    words: Sequence[str],
    settings: str,
    command: Sequence[str] = SOURCE_COMMAND,
) -> Iterator[RunningProcess]:
    """Runs a command with a settings file until the `with` block ends."""
    file = folder / f"{'-'.join(words)}-{hash(settings) & 0xFFFFFF:x}.ini"
    file.write_text(settings)
    process = subprocess.Popen(
        [*command, *words, "--config", str(file)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout
        line = process.stdout.readline().strip()
        yield RunningProcess(process, line.partition("=")[2])
    finally:
        process.terminate()
        process.wait(_STOP_TIMEOUT_S)


def daemon_settings(name: str, zone: str, platform_url: str) -> str:
    """Returns the settings of a daemon on free ports."""
    return (
        f"[vm]\nname = {name}\nzone = {zone}\nregion = test\n"
        "address = 127.0.0.1\n[callers]\ncaller_port = 0\ndrain_delay_s = 0\n"
        "[peers]\npeer_port = 0\n[operators]\noperator_port = 0\n"
        f"[platform]\nplatform_url = {platform_url}\n"
        "[logs]\nlog_level = warning\n"
    )


def accept(platform_url: str, new: configuration.Configuration) -> None:
    """Stores a configuration as the first generation."""

    async def make_change() -> None:
        platform = platform_http.make_platform(platform_url, "operator", 5.0)
        store = configuration_store.ConfigurationStore(
            platform.objects, clock.SystemClock()
        )
        accepted = await store.accept(lambda _: new, 0)
        assert isinstance(accepted, configuration_store.Accepted)

    anyio.run(make_change)


def one_engine_configuration(
    engine: str, service: str = "http://127.0.0.1:9"
) -> tuple[configuration.Configuration, str]:
    """Returns a configuration with one engine, and a key of its customer."""
    issued = api_key.issue("studio")
    made = demo_stack.make_configuration(
        demo_stack.StackOptions(
            engines=demo_stack.StackOptions().engines[:1],
            customers=("studio",),
        ),
        [issued.record],
        [int(engine.rpartition(":")[2])],
        int(service.rpartition(":")[2]),
    )
    return made, issued.text


def wait_until_ready(url: str) -> None:
    """Waits until a daemon is ready, which needs a configuration."""

    async def poll() -> None:
        async with httpx.AsyncClient() as client:
            while (await client.get(f"{url}/readyz")).status_code != 200:
                await anyio.sleep(0.05)

    anyio.run(poll)
