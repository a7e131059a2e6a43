"""Test how bodies of callers are read."""

import pytest
from result import Err

from pistachiohaven.components.entry._caller_request import parse_request
from pistachiohaven.components.entry.const import CHAT_PATH
from pistachiohaven.components.settings import Leaf
from pistachiohaven.components.web import HttpRequest
from pistachiohaven.core import Reason

LEAF = Leaf(
    path="org/app/tier",
    rank=0,
    pool="p",
    max_queue_ms=1_000,
    first_token_ms=1_000,
    deadline_ms=1_000,
    max_tokens=100,
    weight=1.0,
    retry_share=0.2,
    max_body_bytes=1_000_000,
    plain_keys="accept",
)


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b'{"a":' + b"[" * 100_000])
def test_unreadable_body_is_a_bad_request(body: bytes) -> None:
    """Deeply nested bodies ended the request without a response."""
    request = HttpRequest(method="POST", path=CHAT_PATH, query="", headers={})
    result = parse_request(
        request, body, leaf=LEAF, key=None, request_id="1", wall_ms=0
    )
    assert isinstance(result, Err)
    assert result.err_value.reason is Reason.BAD_REQUEST
