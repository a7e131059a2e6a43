"""Tests that names of the platform are used only inside its adapter."""

import re
from pathlib import Path

import pytest

from pistachiohaven.platform import _configuration, _targets, const

PACKAGE = Path(__file__).parents[2] / "pistachiohaven"
FILES_OUTSIDE_ADAPTER = [
    path for path in PACKAGE.rglob("*.py") if PACKAGE / "platform" not in path.parents
]
PLATFORM_NAMES = (
    "kv-watch",
    "kv-range",
    "kv-key",
    "op/config",
    "op/evacuate",
    "servers/",
    "server-leaving",
    "server-limit",
    "coldRemainingMs",
    "trafficSplit",
    "streamResumption",
    "uncachedTokens",
    "kvCacheTokens",
    "itlTargetMs",
    "targetLatencyMs",
    "sessionAffinity",
    "apiKeys",
    "hasMore",
)


def wire_headers() -> list[str]:
    values = [value for name, value in vars(const).items() if name.isupper()]
    return [
        value.decode()
        for value in values
        if isinstance(value, bytes) and value.startswith(b"pistachiohaven-")
    ]


def test_name_lists_are_not_empty() -> None:
    assert len(wire_headers()) > 5
    assert _configuration.__doc__
    assert _targets.__doc__


@pytest.mark.parametrize("path", FILES_OUTSIDE_ADAPTER, ids=lambda path: path.name)
def test_platform_names_are_used_only_in_the_adapter(path: Path) -> None:
    text = path.read_text().lower()
    found = [
        name for name in (*wire_headers(), *PLATFORM_NAMES) if name.lower() in text
    ]
    assert not found
    assert not re.search(r"pistachiohaven-[a-z]+-[a-z]+", text)
