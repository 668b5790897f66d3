"""Tests that two builds read each other's objects, notices and messages."""

import ast
from collections.abc import Iterator
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from tests import old_build
from tests import shared_forms

# Forms that the old build lacks; a new kind goes here when it is added, and
# docs/design/upgrades.md says what the old build does without it.
_ONLY_NEW = frozenset({"fleet_work.FleetNeed", "fleet_work._KIND"})
# Classes that no other daemon reads: of settings, of the calls of operators
# and platforms, and of stand-ins. `_T` and `kind` pass a class on.
_NOT_SHARED = frozenset(
    {
        "ChangeSet",
        "EngineFaults",
        "FaultSettings",
        "ServerOrder",
        "ServiceFaults",
        "VmsBody",
        "kind",
        "target_class",
    }
)
_DECODERS = {"from_json", "from_value"}


def _run_old(tree: pathlib.Path, *words: str, given: object = None) -> Any:
    script = pathlib.Path(shared_forms.__file__)
    found = subprocess.run(
        [sys.executable, "-P", str(script), *words],
        env={**os.environ, "PYTHONPATH": str(tree)},
        input=json.dumps(given),
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.returncode == 0, found.stderr
    return json.loads(found.stdout)


@pytest.fixture(scope="module")
def tree(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    return old_build.extract(tmp_path_factory.mktemp("old"))


@pytest.fixture(scope="module")
def old(tree: pathlib.Path) -> Any:
    """Returns the description of the old build."""
    return _run_old(tree)


@pytest.fixture(scope="module")
def new() -> Any:
    """Returns the description of the present build."""
    return json.loads(json.dumps(shared_forms.describe()))


def test_the_old_build_reads_what_the_new_one_writes(
    tree: pathlib.Path, old: Any, new: Any
) -> None:
    """Fails if a field was added, which the old build rejects."""
    written = {
        path: texts
        for path, texts in new["examples"].items()
        if path in old["examples"]
    }
    assert _run_old(tree, "read", given=written) == written


def test_the_new_build_reads_what_the_old_one_writes(old: Any) -> None:
    """Fails if a field was removed, or added without a default."""
    assert shared_forms.read(old["examples"]) == old["examples"]


def test_kinds_keep_their_names(old: Any, new: Any) -> None:
    """Fails if one build can't find or hear what the other one calls so."""
    assert old["names"].items() <= new["names"].items()
    only_new = {
        path
        for part in ("examples", "names")
        for path in new[part].keys() - old[part].keys()
    }
    assert only_new == _ONLY_NEW


def test_messages_keep_their_fields(old: Any, new: Any) -> None:
    """Fails if a field, number or method was changed instead of added."""
    changed = {
        name: (form, new["messages"].get(name))
        for name, form in old["messages"].items()
        if new["messages"].get(name) != form
    }
    assert changed == {}


def test_both_builds_compute_alike_what_they_do_not_tell(
    old: Any, new: Any
) -> None:
    """Fails if two builds choose another software version or daemon."""
    assert new["results"] == old["results"]


def test_all_packages_of_the_old_build_are_there(tree: pathlib.Path) -> None:
    """Fails if the old build would run with another package or version."""
    name = "requirements.txt"
    present = (old_build.ROOT / name).read_text().splitlines()
    needed = (tree / name).read_text().splitlines()
    assert needed
    assert [line for line in needed if line not in present] == []


def _decoded_classes() -> Iterator[str]:
    """Yields the names of all classes that the package decodes."""
    for path in sorted((old_build.ROOT / "figstream").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute | ast.Name)
                and ast.unparse(node.func).rpartition(".")[2] in _DECODERS
            ):
                yield ast.unparse(node.args[1]).rpartition(".")[2]


def test_all_kinds_of_objects_are_compared() -> None:
    """Fails if a class is decoded that the lists here do not name."""
    compared = {path.rpartition(".")[2] for path in shared_forms.CLASSES}
    decoded = set(_decoded_classes())
    assert decoded - compared == _NOT_SHARED
