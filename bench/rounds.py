"""Writes docs/ROUNDS.md from the journal of the users' bench.

Each entry of `journal/` records one command of that bench: a day, a score of
a site or a hunt. The page shows the first and the latest figure of each
standard day with its prices, every hunt with the rules that it broke, and the
trials: runs whose code was changed afterwards or whose days were scaled down.
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
# Worth of a naive relay on the standard days, as measured by the users.
_NAIVE_WORTH: Final = {
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
    # Measured on three days only.
    "ssc-remates": {"quiet-1": 0.129, "trouble-1": -0.059, "scale-1": -0.002},
}
_STANDARD_DAYS: Final = tuple(_NAIVE_WORTH["capturista"])
_SITES: Final = (
    "capturista",
    "khazain",
    "ssc-remates",
    "capturista-grown",
    "khazain-grown",
    "ssc-remates-grown",
    "capturista-large",
    "capturista-now-grown",
    "mobsz-foglalas-grown",
    "pampa-grown",
)
# Options of the bench that change a day so that its figures do not count.
_SCALING_OPTIONS: Final = frozenset({"--small", "--no-cpu", "--until"})
_TRIAL_PREFIX: Final = "trial"
# Prices below this are left out of the table.
_MIN_PRICE: Final = 0.005


@attrs.frozen
class Day:
    """One simulated day of the bench.

    Attributes:
      site: short name of the site.
      entry: id of the journal entry.
      fields: record that the bench wrote for the day.
      options: options of the bench for which the day does not count.
      why: the reason given if the day was a trial, "" otherwise.
    """

    site: str
    entry: str
    fields: dict[str, Any]
    options: frozenset[str]
    why: str

    @property
    def counts(self) -> bool:
        """Returns whether the day ran in full and on code that was kept."""
        return not self.options and not self.why

    @property
    def name(self) -> str:
        """Returns the name of the day, including its seed if any."""
        return str(self.fields["name"])

    @property
    def worth(self) -> float:
        """Returns the worth of the day."""
        return float(self.fields["G"])

    @property
    def broken(self) -> str:
        """Returns the broken rules with their counts, "" for none."""
        rules: dict[str, Any] = self.fields.get("rules") or {}
        return ", ".join(f"{name} {count}" for name, count in rules.items())

    @property
    def prices(self) -> str:
        """Returns the four largest prices with their names."""
        large = [
            (cost, name)
            for name, _, cost in self.fields["prices"]
            if cost >= _MIN_PRICE
        ]
        large.sort(reverse=True)
        return ", ".join(f"{name} {cost:.3f}" for cost, name in large[:4])


def _read_entries() -> Iterable[tuple[str, dict[str, Any]]]:
    for path in sorted(_JOURNAL.glob("*.json")):
        yield path.stem, json.loads(path.read_text())


def _days(entry: str, fields: dict[str, Any]) -> Sequence[Day]:
    options = _SCALING_OPTIONS & set(fields.get("argv") or ())
    why = str(fields.get("why") or "")
    trial = why if why.startswith(_TRIAL_PREFIX) else ""
    return [
        Day(_site(fields), entry, day, options, trial)
        for day in fields.get("days") or ()
    ]


def _site(fields: dict[str, Any]) -> str:
    return str(fields.get("site") or "").replace("-figstream", "")


def _standard_rows(days: Sequence[Day], site: str) -> Iterable[str]:
    for name in _STANDARD_DAYS:
        naive = _NAIVE_WORTH.get(site, {}).get(name)
        naive_text = "" if naive is None else f"{naive:.3f}"
        counted = [
            x for x in days if x.site == site and x.name == name and x.counts
        ]
        if not counted:
            continue
        first, last = counted[0], counted[-1]
        served = last.fields["served"]
        top = last.fields["top"]
        yield (
            f"| {site} | {name} | {naive_text} | {first.worth:.3f} "
            f"| {last.worth:.3f} | {top:.3f} | {last.fields['score']:.2f} "
            f"| {served:.3f} | {last.prices} | {last.broken or 'none'} "
            f"| {last.entry[-8:]} |"
        )


def _hunt_rows() -> Iterable[str]:
    for entry, fields in _read_entries():
        if fields["cmd"] != "hunt":
            continue
        days = _days(entry, fields)
        if not days:
            yield (
                f"| {_site(fields) or 'not written'} "
                f"| {fields['head'][:7]} | 0 | not finished: "
                f"{fields.get('error')} |"
            )
            continue
        broken = [f"{day.name}: {day.broken}" for day in days if day.broken]
        yield (
            f"| {days[0].site} | {fields['head'][:7]} | {len(days)} "
            f"| {'; '.join(broken) or 'none'} |"
        )


def _trial_rows(days: Sequence[Day]) -> Iterable[str]:
    for day in days:
        if day.counts:
            continue
        options = " ".join(sorted(day.options))
        yield (
            f"| {day.site} | {day.name} {options} | {day.worth:.3f} "
            f"| {day.fields['served']:.3f} | {day.broken or 'none'} "
            f"| {day.why or 'first look'} | {day.entry[-8:]} |"
        )


def main() -> None:
    """Writes the page."""
    days = [day for item in _read_entries() for day in _days(*item)]
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
        *(line for site in _SITES for line in _standard_rows(days, site)),
        "",
        "## Hunts",
        "",
        "| site | commit | days | rules broken |",
        "| --- | --- | --- | --- |",
        *_hunt_rows(),
        "",
        "## Trials",
        "",
        "Code that was not kept as it was, or days that were scaled down.",
        "",
        "| site | day | worth | payoff | rules | why | entry |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *_trial_rows(days),
        "",
        _NOTES.read_text().rstrip(),
        "",
    ]
    _PAGE.write_text("\n".join(lines))
