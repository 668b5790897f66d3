"""Tests that the example settings are valid and all faults are reported."""

import pathlib

import pytest

from figstream import defaults
from figstream import errors
from figstream import options

_EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/figstream.ini"


def test_example_is_valid_and_shows_the_defaults() -> None:
    found = options.read(_EXAMPLE)
    assert found.caller_port == defaults.CALLER_PORT
    assert found.lease_s == defaults.LEASE_S
    assert found.neighbours == defaults.NEIGHBOURS


def test_every_fault_is_reported_at_once() -> None:
    text = _EXAMPLE.read_text()
    text = text.replace("caller_port = 8080", "caller_port = many")
    text = text.replace("lease_s = 6", "lease_s = -1")
    text = text.replace("[logs]", "[logs]\ncolour = red")
    with pytest.raises(errors.SettingsError) as caught:
        options.parse(text)
    assert {(f.section, f.key, f.found) for f in caught.value.faults} == {
        ("callers", "caller_port", "many"),
        ("platform", "lease_s", "-1"),
        ("logs", "colour", "red"),
    }


def test_missing_key_and_broken_syntax_are_faults() -> None:
    with pytest.raises(errors.SettingsError, match="unique name"):
        options.parse("[vm]\nzone = a\n")
    with pytest.raises(errors.SettingsError, match="an INI file"):
        options.parse("name = x\n")
