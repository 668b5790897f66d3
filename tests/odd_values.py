"""Values of stored objects that other writers may leave, for tests."""

import json
import pathlib
from typing import Any

_FOLDER = pathlib.Path(__file__).parent.parent / "test-data"


def _encode(case: dict[str, Any]) -> bytes:
    times = int(case.get("times", 0))
    text: str = case.get("before", "") * times
    text += case.get("middle", "") + case.get("after", "") * times
    return text.encode(str(case.get("encoding", "utf-8")))


def unusable_entries(service: str) -> list[bytes]:
    """Returns entries of servers of a service that must not be used."""
    cases = json.loads((_FOLDER / "server_entries.json").read_text())
    values = [case["value"] for case in cases if not case["usable"]]
    return [
        json.dumps(
            {**item, "service": service}
            if isinstance(item, dict) and item.get("service") == "s"
            else item
        ).encode()
        for item in values
    ]


# By the name of the case.
UNREADABLE = {
    item["case"]: _encode(item)
    for item in json.loads((_FOLDER / "unreadable_values.json").read_text())
}
