"""Requests that reached no target before their deadline were answered with 504.

Callers can't repeat an unsafe request after that.
"""

import pytest
import trio
from result import Result

from pistachiohaven.components.gateway._connections import Connection, ConnectionPool

from .stand_ins import run_harness

DEADLINE = {"Pistachiohaven-Deadline-Ms": "200"}


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_request_whose_connection_does_not_open_is_refused(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The target does not answer the SYN until the caller's deadline."""

    async def never_open(pool: ConnectionPool, address: str) -> Result[Connection, str]:
        await trio.sleep_forever()
        raise AssertionError

    async def act() -> None:
        with trio.fail_after(40):
            async with run_harness(targets=1) as harness:
                monkeypatch.setattr(ConnectionPool, "_open", never_open)
                response = await harness.call(path, headers=DEADLINE)
                assert response.status == 503
                assert "retry-after" in response.headers
                assert not harness.targets[0].received

    trio.run(act)
