"""Tests that imports are acyclic and that scheduling code imports no I/O."""

import ast
import graphlib
import pathlib

_PACKAGE = pathlib.Path(__file__).parent.parent / "figstream"
# Tests run these modules with fakes on virtual time, so they must not import
# modules that do I/O, not even indirectly.
_SCHEDULING_MODULES = ("scheduler", "class_queue", "fair_share", "retry_policy")
_IO_MODULES = {"backend_client", "http_server", "platform_http", "daemon"}


def _imports(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text())
    return {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == "figstream"
        for alias in node.names
    }


def _graph() -> dict[str, set[str]]:
    return {path.stem: _imports(path) for path in _PACKAGE.glob("*.py")}


def test_import_graph_is_acyclic() -> None:
    order = graphlib.TopologicalSorter(_graph())
    assert "main" in list(order.static_order())


def test_decision_code_imports_no_io() -> None:
    graph = _graph()

    def reachable(name: str, seen: set[str]) -> set[str]:
        for item in graph.get(name, set()) - seen:
            reachable(item, seen | {item})
            seen |= {item} | reachable(item, seen | {item})
        return seen

    for name in _SCHEDULING_MODULES:
        assert not reachable(name, set()) & _IO_MODULES, name
