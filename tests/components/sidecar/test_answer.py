"""Test that an answer is whole for its readers and bounded without them."""

import trio
from trio.testing import MockClock

from pistachiohaven.components.sidecar._answer import (
    UNREAD_LIMIT_BYTES,
    Answer,
    AnswerState,
)
from pistachiohaven.const import MAX_ANSWER_BUFFER_BYTES

KEPT_AND_UNREAD = MAX_ANSWER_BUFFER_BYTES + UNREAD_LIMIT_BYTES
CHUNK = b"x" * 65_536


def run(act: object) -> None:
    trio.run(act, clock=MockClock(autojump_threshold=0))  # type: ignore[arg-type]


def test_answer_without_a_reader_is_bounded() -> None:
    answer = Answer()
    for _number in range(20):
        answer.append(CHUNK)
    assert answer.size_bytes <= MAX_ANSWER_BUFFER_BYTES
    assert answer.open_reader(0) is None
    assert answer.open_reader(answer.base_bytes) is not None


def test_slow_reader_holds_the_target_back_and_gets_every_byte() -> None:
    async def act() -> None:
        answer = Answer()
        reader = answer.open_reader(0)
        assert reader is not None
        sent = 0

        async def produce() -> None:
            nonlocal sent
            for _number in range(20):
                answer.append(CHUNK)
                sent += len(CHUNK)
                await answer.room()
                assert answer.size_bytes <= KEPT_AND_UNREAD + len(CHUNK)
            answer.finish(AnswerState.WHOLE)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(produce)
            received = 0
            while chunk := await answer.read(reader):
                received += len(chunk)
                await trio.sleep(1)
        assert received == sent == 20 * len(CHUNK)

    run(act)


def test_second_reader_of_a_key_gets_the_answer_from_its_start() -> None:
    async def act() -> None:
        answer = Answer()
        first = answer.open_reader(0)
        assert first is not None
        answer.append(b"one ")
        assert await answer.read(first) == b"one "
        second = answer.open_reader(0)
        assert second is not None
        answer.append(b"two")
        answer.finish(AnswerState.WHOLE)
        assert await answer.read(second) == b"one two"
        assert await answer.read(first) == b"two"
        assert await answer.read(first) == b""

    run(act)


def test_events_gather_but_the_end_is_not_waited_past() -> None:
    async def act() -> None:
        answer = Answer()
        answer.finish(AnswerState.WHOLE)
        started = trio.current_time()
        await answer.gather(within_ms=40)
        assert trio.current_time() == started

    run(act)
