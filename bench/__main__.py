"""Runs all default benchmarks, or only those named on the command line."""

import importlib
import sys
from typing import Final

BENCHMARKS: Final[tuple[str, ...]] = (
    "claims",
    "decision_cost",
    "stragglers",
    "scenarios",
    "selection",
    "configuration_shards",
    "relay",
    "daemons",
    "usage",
    "membership",
    "leases",
)


def main() -> None:
    """Runs the selected benchmarks in order."""
    for name in sys.argv[1:] or BENCHMARKS:
        print(f"== {name}")
        importlib.import_module(f"bench.{name}").main()


main()
