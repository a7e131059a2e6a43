"""Test that the core imports no I/O library and the package starts no process."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "pistachiohaven"
IO_LIBRARIES = {"trio", "httpcore", "hypercorn", "socket", "eliot", "prometheus_client"}
CORE_PARTS = (
    "admission",
    "dispatch",
    "evacuation",
    "gossip",
    "hedge",
    "lifecycle",
    "membership",
    "notice",
    "origin",
    "peer",
    "retry",
    "routing",
    "settings",
)
CORE_FILES = [
    *(
        path
        for part in CORE_PARTS
        for path in (PACKAGE / "components" / part).glob("*")
    ),
    PACKAGE / "components" / "entry" / "_request.py",
    PACKAGE / "components" / "sidecar" / "_core.py",
    PACKAGE / "core.py",
]


def imported_names(path: Path) -> set[str]:
    """Return the top-level packages that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom) and node.module and not node.level:
            names.add(node.module.split(".")[0])
    return names


@pytest.mark.parametrize(
    "path", [path for path in CORE_FILES if path.suffix == ".py"], ids=str
)
def test_core_imports_no_io(path: Path) -> None:
    assert not imported_names(path) & IO_LIBRARIES


def test_only_tests_and_scripts_start_processes() -> None:
    for path in PACKAGE.rglob("*.py"):
        assert not imported_names(path) & {"subprocess", "multiprocessing"}, path
