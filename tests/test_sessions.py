"""Compare complete HTTP responses with golden files.

Run with UPDATE_GOLDEN=1 to rewrite the files, then review the difference.
"""

import os
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from features.caller import stream_in_background
from features.fleet import Fleet, Reply, wait_until

GOLDEN = Path(__file__).parent / "golden"
TREE = """\
revision: 1
settings: {pool: draft, max_tokens: 1000, deadline_ms: 60000}
organisations:
  reporting:
    applications:
      drafts:
        tiers:
          normal:
            settings: {rank: 1, max_queue_ms: 0}
"""
VARIABLE_PARTS = (
    (re.compile(r"^(date): .*$", re.M), r"\1: (date)"),
    (re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"), "(id)"),
)


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    new_fleet = Fleet(
        engine_count=1,
        service_count=0,
        entry_count=1,
        tree=TREE,
        engine_settings='{"token_ms": 5, "max_batch": 16}',
    )
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.stop()


def as_text(reply: Reply) -> str:
    headers = "\n".join(f"{name}: {value}" for name, value in reply.headers.items())
    text = f"{reply.status}\n{headers}\n\n{reply.body.decode()}"
    for pattern, placeholder in VARIABLE_PARTS:
        text = pattern.sub(placeholder, text)
    return text


def compare(name: str, replies: list[Reply]) -> None:
    text = "\n====\n".join(as_text(reply) for reply in replies)
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text)
    assert text == path.read_text()


def test_streamed_and_plain_completions(fleet: Fleet) -> None:
    streamed = fleet.request_completion("entry-1", "chat", tokens=4, stream=True)
    plain = fleet.request_completion("entry-1", "plain", tokens=4)
    compare("chat", [streamed, plain])


def test_refusal_under_overload(fleet: Fleet) -> None:
    running = stream_in_background(fleet, "entry-1", "long", tokens=1000)
    wait_until(lambda: running.chunk_count > 1, "a long stream runs")
    refused = fleet.request_completion("entry-1", "refused", tokens=1000)
    compare("overload", [refused])
    assert fleet.run_count("refused") == 0
    assert len(running.result().words()) == 1000


def test_invalid_requests(fleet: Fleet) -> None:
    request_options = [
        {"headers": {"x-organisation": "nobody"}},
        {"headers": {"idempotency-key": "not-a-uuid"}},
        {"prompt": "x" * 300_000},
    ]
    replies = [
        fleet.request_completion("entry-1", "mistake", **options)
        for options in request_options
    ]
    compare("mistakes", replies)
    assert fleet.run_count("mistake") == 0
