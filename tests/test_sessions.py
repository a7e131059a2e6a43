"""Compare whole sessions of callers with golden files.

Run with UPDATE_GOLDEN=1 to write the files anew, and read the difference.
"""

import os
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from features.caller import stream
from features.fleet import Fleet, Reply, eventually

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
CHANGING = (
    (re.compile(r"^(date): .*$", re.M), r"\1: (date)"),
    (re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"), "(id)"),
)


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    made = Fleet(
        engines=1,
        services=0,
        entries=1,
        tree=TREE,
        engine_lines='{"token_ms": 5, "max_batch": 16}',
    )
    try:
        made.start()
        yield made
    finally:
        made.stop()


def as_text(reply: Reply) -> str:
    head = "\n".join(f"{name}: {value}" for name, value in reply.headers.items())
    text = f"{reply.status}\n{head}\n\n{reply.body.decode()}"
    for pattern, stands_for in CHANGING:
        text = pattern.sub(stands_for, text)
    return text


def compare(name: str, sessions: list[Reply]) -> None:
    text = "\n====\n".join(as_text(reply) for reply in sessions)
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text)
    assert text == path.read_text()


def test_streamed_and_plain_chat(fleet: Fleet) -> None:
    streamed = fleet.ask("entry-1", "chat", tokens=4, stream=True)
    plain = fleet.ask("entry-1", "plain", tokens=4)
    compare("chat", [streamed, plain])


def test_refused_overload(fleet: Fleet) -> None:
    running = stream(fleet, "entry-1", "long", tokens=1000)
    eventually(lambda: running.chunks > 1, "a long stream runs")
    refused = fleet.ask("entry-1", "refused", tokens=1000)
    compare("overload", [refused])
    assert fleet.runs("refused") == 0
    assert len(running.result().words()) == 1000


def test_mistakes_of_callers(fleet: Fleet) -> None:
    mistakes = [
        {"headers": {"x-organisation": "nobody"}},
        {"headers": {"idempotency-key": "not-a-uuid"}},
        {"prompt": "x" * 300_000},
    ]
    replies = [fleet.ask("entry-1", "mistake", **each) for each in mistakes]
    compare("mistakes", replies)
    assert fleet.runs("mistake") == 0
