"""Tests what the start of a daemon imports, since it delays its first answer.

A machine with a third of a processor takes three times as long as a processor
would, and no request is served before the imports are done.
"""

import pathlib
import subprocess
import sys
from typing import Final

_ROOT: Final = pathlib.Path(__file__).parent.parent
# Take a tenth of the start each, and nothing that serves needs them.
_NOT_IMPORTED: Final = (
    "httpx",
    "prometheus_client",
    "rich",
    "typer",
)
_PROGRAM: Final = """
import sys
sys.path.append(sys.argv[1])
sys.path.append(sys.argv[1] + "/platform")
from figstream_platform import program
print("\\n".join(sorted(sys.modules)))
"""


def test_start_imports_nothing_that_serving_does_not_need() -> None:
    found = subprocess.run(
        (sys.executable, "-c", _PROGRAM, str(_ROOT)),
        capture_output=True,
        text=True,
        check=True,
    ).stdout.splitlines()
    assert "figstream.gateway_daemon" in found
    assert not set(_NOT_IMPORTED) & set(found)
