"""Values of stored objects that no JSON decoder reads, for tests."""

import json
import pathlib
from typing import Any

_FILE = (
    pathlib.Path(__file__).parent.parent / "test-data/unreadable_values.json"
)


def _encode(case: dict[str, Any]) -> bytes:
    times = int(case.get("times", 0))
    text: str = case.get("before", "") * times
    text += case.get("middle", "") + case.get("after", "") * times
    return text.encode(str(case.get("encoding", "utf-8")))


# By the name of the case.
UNREADABLE = {
    item["case"]: _encode(item) for item in json.loads(_FILE.read_text())
}
