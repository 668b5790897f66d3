"""Writes docs/ROUNDS.md from the journal of the users' bench.

Each entry of `journal/` is one command of that bench: a day, a score of a
site or a hunt. The page shows the first and the latest figure of each
standard day with its prices, and every hunt with the rules it broke.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import json
import pathlib
from typing import Any
from typing import Final

import attrs

_JOURNAL: Final = pathlib.Path("journal")
_PAGE: Final = pathlib.Path("docs/ROUNDS.md")
_NOTES: Final = pathlib.Path("docs/rounds-notes.md")
# Worth of a naive relay on the standard days, as the users measured it.
_NAIVE: Final = {
    "capturista": {
        "quiet-1": 0.318,
        "trouble-1": 0.298,
        "scale-1": 0.128,
        "trouble-2": 0.288,
        "scale-2": 0.127,
        "trouble-3": 0.269,
    },
    "khazain": {
        "quiet-1": 0.241,
        "trouble-1": 0.249,
        "scale-1": -0.050,
        "trouble-2": 0.118,
        "scale-2": 0.003,
        "trouble-3": 0.093,
    },
}
# Prices below this are left out of the table.
_SMALL_PRICE: Final = 0.005


@attrs.frozen
class Day:
    """One day as it was played.

    Attributes:
      site: short name of the site.
      entry: id of the journal's entry.
      fields: what the bench wrote of the day.
    """

    site: str
    entry: str
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Returns the name of the day, with its seed if it has one."""
        return str(self.fields["name"])

    @property
    def worth(self) -> float:
        """Returns what the day was worth."""
        return float(self.fields["G"])

    @property
    def broken(self) -> str:
        """Returns the rules that the day broke, "" for none."""
        rules: dict[str, Any] = self.fields.get("rules") or {}
        return ", ".join(f"{name} {count}" for name, count in rules.items())

    @property
    def prices(self) -> str:
        """Returns the largest prices."""
        large = [
            (cost, name)
            for name, _, cost in self.fields["prices"]
            if cost >= _SMALL_PRICE
        ]
        large.sort(reverse=True)
        return ", ".join(f"{name} {cost:.3f}" for cost, name in large[:4])


def _entries() -> Iterable[tuple[str, dict[str, Any]]]:
    for path in sorted(_JOURNAL.glob("*.json")):
        yield path.stem, json.loads(path.read_text())


def _days(entry: str, fields: dict[str, Any]) -> Sequence[Day]:
    site = str(fields.get("site") or "").partition("-")[0]
    return [Day(site, entry, day) for day in fields.get("days") or ()]


def _standard(days: Sequence[Day], site: str) -> Iterable[str]:
    for name, naive in _NAIVE[site].items():
        mine = [x for x in days if x.site == site and x.name == name]
        if not mine:
            continue
        first, last = mine[0], mine[-1]
        served = last.fields["served"]
        top = last.fields["top"]
        yield (
            f"| {site} | {name} | {naive:.3f} | {first.worth:.3f} "
            f"| {last.worth:.3f} | {top:.3f} | {last.fields['score']:.2f} "
            f"| {served:.3f} | {last.prices} | {last.broken or 'none'} "
            f"| {last.entry[-8:]} |"
        )


def _hunts() -> Iterable[str]:
    for entry, fields in _entries():
        if fields["cmd"] != "hunt":
            continue
        days = _days(entry, fields)
        if not days:
            yield (
                f"| {str(fields.get('site')).partition('-')[0]} "
                f"| {fields['head'][:7]} | 0 | not finished: "
                f"{fields.get('error')} |"
            )
            continue
        broken = [f"{day.name}: {day.broken}" for day in days if day.broken]
        yield (
            f"| {days[0].site} | {fields['head'][:7]} | {len(days)} "
            f"| {'; '.join(broken) or 'none'} |"
        )


def main() -> None:
    """Writes the page."""
    days = [day for item in _entries() for day in _days(*item)]
    lines = [
        "# Rounds on the users' bench",
        "",
        "Written by `python -m bench rounds` from `journal/`; the notes below",
        "the tables stand in `rounds-notes.md`.",
        "",
        "Worth by site and day: a naive relay (the users' figure), our first",
        "run, our latest run, and the upper mark; then score, payoff and",
        "largest prices of the latest run, the rules it broke, and its entry.",
        "",
        "| site | day | naive | first | latest | mark | score | payoff "
        "| prices | rules | entry |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        *_standard(days, "capturista"),
        *_standard(days, "khazain"),
        "",
        "## Hunts",
        "",
        "| site | commit | days | rules broken |",
        "| --- | --- | --- | --- |",
        *_hunts(),
        "",
        _NOTES.read_text().rstrip(),
        "",
    ]
    _PAGE.write_text("\n".join(lines))
