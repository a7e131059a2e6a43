"""Test that a list of the store is read up to a limit."""

import json
from typing import Any

import pytest
import trio
from result import Ok, Result

from pistachiohaven.components.web import CallError, make_connection_pool
from pistachiohaven.components.web._client import Response
from pistachiohaven.platform import StoreClient, StoreError, _store

LIMIT_BYTES = 16_777_216
"""Largest list that is read, in bytes of its pages."""


def test_list_of_pages_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    pages = 0

    async def call(*_args: Any, **_options: Any) -> Result[Response, CallError]:
        nonlocal pages
        pages += 1
        assert (pages - 1) * 1_048_576 <= LIMIT_BYTES, "nothing bounds the list"
        item = {"key": f"servers/{pages:04}", "value": "", "revision": 1}
        page = {"items": [item], "hasMore": True, "at": 1, "padding": "x" * 1_048_576}
        return Ok(Response(status=200, headers={}, body=json.dumps(page).encode()))

    monkeypatch.setattr(_store, "call", call)
    client = StoreClient(address="10.0.0.1:80", pool=make_connection_pool())

    async def read() -> StoreError:
        return (await client.read_range("servers/")).unwrap_err()

    assert trio.run(read) is StoreError.TOO_LARGE
