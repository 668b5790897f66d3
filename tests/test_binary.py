"""Tests of the one-file binary, which `.ci/run` builds.

`.ci/run` passes the path of the binary in FIGSTREAM_BINARY.
"""

import os
import pathlib
import subprocess
import sys

import psutil
import pytest

from tests import processes

_BINARY = os.environ.get("FIGSTREAM_BINARY", "")

pytestmark = pytest.mark.skipif(
    not _BINARY, reason="FIGSTREAM_BINARY is not set"
)


def test_binary_serves_and_starts_no_other_process(
    tmp_path: pathlib.Path,
) -> None:
    """Fails when the binary forks, as a PyInstaller build does."""
    command = (sys.executable, _BINARY)
    platform_words = ("stand-in", "platform")
    with processes.running(
        tmp_path, platform_words, "[platform]\nport = 0\n", command
    ) as platform:
        made, _ = processes.one_engine_configuration("http://127.0.0.1:9")
        processes.accept(platform.url, made)
        settings = processes.daemon_settings("entry-0", "a", platform.url)
        with processes.running(
            tmp_path, ("serve",), settings, command
        ) as daemon:
            processes.wait_until_ready(daemon.url)
            running = psutil.Process(daemon.process.pid)
            assert running.children(recursive=True) == []


def test_binary_names_every_fault_of_a_settings_file(
    tmp_path: pathlib.Path,
) -> None:
    file = tmp_path / "bad.ini"
    file.write_text("[vm]\nname = x\n[callers]\ncaller_port = many\n")
    done = subprocess.run(
        [sys.executable, _BINARY, "check-config", str(file)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "[callers] caller_port: found 'many'" in done.stderr
    assert "[vm] zone" in done.stderr
