"""Send a request to one target once and pass its answer on."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err

from pistachiohaven import platform
from pistachiohaven.components.fleet import RequestKind
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.components.retry import Failure
from pistachiohaven.helpers import Clock

from ._call import Call
from ._connections import (
    CONNECTION_ERRORS,
    AnswerHead,
    Connection,
    ConnectionPool,
    finish,
    read_chunks,
    send,
)
from ._events import Event, EventSplitter
from ._silence import Silence
from ._state import GatewayState
from .const import (
    GAP_SILENT_FACTOR,
    MAX_ANSWER_BYTES,
    SILENT_FACTOR,
    SILENT_FLOOR_MS,
)

Headers = list[tuple[bytes, bytes]]

OK_STATUSES = range(200, 300)
SERVER_ERRORS = range(500, 600)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that the request has not run."""


class Sink(Protocol):
    """Take a stream's events on their way to the caller."""

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event that the caller was sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Pass on the head of the answer, once."""

    async def events(self, events: list[Event]) -> None:
        """Pass on whole events."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Whole:
    """Hold a whole answer that is not a stream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Streamed:
    """Say that a stream was passed on to its end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """Say how a dispatch failed; `answer` is the target's own error, if it gave one.

    `alive` means that the target answered.
    """

    failure: Failure
    detail: str
    alive: bool = False
    answer: Whole | None = None


Result = Whole | Streamed | Failed


class Dispatch:
    """Run one request on one target.

    `may_move` says if a request whose target is silent can go elsewhere now.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        body: bytes,
        load: TargetLoad,
        pool: ConnectionPool,
        sink: Sink,
        may_move: Callable[[Failure], bool],
    ) -> None:
        self._call = call
        self._body = body
        self._load = load
        self._pool = pool
        self._clock: Clock = state.clock
        self._sink = sink
        self._watch = state.silence_watch
        self._silence = Silence(
            request_id=call.head.attempt_id,
            load=load,
            may_move=lambda: may_move(self._break_failure()),
            clock=state.clock,
            log=state.log,
        )
        self._splitter = EventSplitter()
        self._events = 0
        self._released = False
        self.sent = False

    async def run(self) -> Result:
        """Return what became of the request; the load is kept up to date."""
        request_id = self._call.head.attempt_id
        try:
            taken = await self._pool.take(self._load.target.address)
        except BaseException:
            self._load.left(request_id)
            raise
        if isinstance(taken, Err):
            self._load.failed(request_id, alive=False, now_ms=self._clock.now_ms())
            return Failed(failure=Failure.NOT_SENT, detail=taken.err_value)
        connection = taken.ok_value
        try:
            result = await self._listen(connection)
        except CONNECTION_ERRORS as error:
            result = self._broken(type(error).__name__)
        except BaseException:
            self._load.left(request_id)
            await self._pool.close(connection)
            raise
        if not self._released:
            await self._pool.close(connection)
        self._note(result)
        return result

    def _note(self, result: Result) -> None:
        """Let the target's load know how the request ended."""
        now_ms = self._clock.now_ms()
        request_id = self._call.head.attempt_id
        if not isinstance(result, Failed):
            stride = self._call.pool.event_tokens if self._call.pool else 1
            self._load.ended(
                request_id,
                events=self._events,
                tokens=max(self._events - 1, 0) * stride,
                now_ms=now_ms,
            )
        elif result.failure is Failure.NEVER_RAN:
            self._load.full(request_id, now_ms=now_ms)
        else:
            self._load.failed(request_id, alive=result.alive, now_ms=now_ms)

    async def _listen(self, connection: Connection) -> Result:
        """Exchange request and answer unless a silent target is given up."""
        if not self._call.route.repeatable:
            return await self._exchange(connection)
        self._watch.follow(self._silence)
        try:
            with self._silence.scope:
                return await self._exchange(connection)
        finally:
            self._watch.leave(self._silence)
        return self._broken("silent")

    async def _exchange(self, connection: Connection) -> Result:
        """Send the request and take in its answer."""
        call = self._call
        now_ms = self._clock.now_ms()
        headers = platform.encode_dispatch(
            call.headers,
            target_name=self._load.target.name,
            organisation=call.organisation.name if call.organisation else None,
            left_ms=call.deadline_ms - now_ms,
            body_bytes=len(self._body),
            resume_after=self._sink.last_event_id,
        )
        self.sent = True
        self._silence.expect(within_ms=self._first_wait_ms(now_ms=now_ms))
        head = await send(
            connection,
            method=call.method,
            target=call.target,
            headers=headers,
            body=self._body,
        )
        self._silence.heard()
        problem = self._problem(head)
        if problem is not None:
            return Failed(failure=Failure.NO_ANSWER, detail=problem, alive=True)
        if head.status in OK_STATUSES and call.route.kind is RequestKind.STREAM:
            return await self._stream(connection, head)
        return await self._whole(connection, head)

    def _problem(self, head: AnswerHead) -> str | None:
        """Return why an answer can't be this request's, None if it can."""
        attempt = platform.find_attempt(head.headers)
        if attempt is not None and attempt != self._call.head.attempt_id:
            return "answer of another request"
        if head.status not in OK_STATUSES:
            return None
        if attempt is None or not platform.is_stamped(head.headers):
            return "answer without signature"
        if any(name == b"content-encoding" for name, _ in head.headers):
            return "answer with an encoding"
        return None

    async def _whole(self, connection: Connection, head: AnswerHead) -> Result:
        """Take in an answer that is not a stream."""
        parts: list[bytes] = []
        size = 0
        async for chunk in read_chunks(head):
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                return Failed(
                    failure=Failure.NO_ANSWER, detail="answer too large", alive=True
                )
            parts.append(chunk)
        await self._release(connection, head)
        answer = Whole(
            status=head.status,
            headers=platform.answer_headers(head.headers),
            body=b"".join(parts),
        )
        if platform.never_ran(head.status, head.headers):
            return Failed(
                failure=Failure.NEVER_RAN, detail=f"status {head.status}", alive=True
            )
        if head.status in SERVER_ERRORS or head.status in NOT_RUN_STATUSES:
            return Failed(
                failure=Failure.FAILED,
                detail=f"status {head.status}",
                alive=True,
                answer=answer,
            )
        return answer

    async def _stream(self, connection: Connection, head: AnswerHead) -> Result:
        """Pass on a stream, whole events only."""
        await self._sink.start(head.status, platform.answer_headers(head.headers))
        first_wait_ms = self._first_wait_ms(now_ms=self._clock.now_ms())
        async for chunk in self._timed(read_chunks(head), first_wait_ms):
            try:
                events = self._splitter.feed(chunk)
            except ValueError as error:
                return Failed(failure=Failure.BROKEN, detail=str(error), alive=True)
            if not events:
                continue
            if not self._events:
                self._load.first_event(
                    self._call.head.attempt_id, now_ms=self._clock.now_ms()
                )
            self._events += len(events)
            await self._sink.events(events)
        if self._splitter.partial:
            return Failed(failure=Failure.BROKEN, detail="cut within an event")
        await self._release(connection, head)
        return Streamed()

    async def _release(self, connection: Connection, head: AnswerHead) -> None:
        """Keep the connection of an answer that was read to its end."""
        await finish(head)
        await self._pool.give_back(connection, head.headers)
        self._released = True

    async def _timed(
        self, chunks: AsyncIterator[bytes], first_wait_ms: float
    ) -> AsyncIterator[bytes]:
        """Yield `chunks`; the time in which none comes counts as silence."""
        gap_ms = GAP_SILENT_FACTOR * self._call.route.event_gap_target_ms
        gap_ms = max(gap_ms, SILENT_FLOOR_MS)
        while True:
            within_ms = gap_ms if self._events else first_wait_ms
            chunk = await self._silence.next_chunk(chunks, within_ms=within_ms)
            if chunk is None:
                return
            yield chunk

    def _first_wait_ms(self, *, now_ms: int) -> float:
        """Return how long the target may take to begin its answer."""
        expected_ms = self._load.first_event_ms(self._call.job(), now_ms=now_ms)
        return max(SILENT_FACTOR * expected_ms, SILENT_FLOOR_MS)

    def _break_failure(self) -> Failure:
        """Return what it is if the connection breaks or is given up now."""
        began = self._sink.last_event_id is not None or self._events > 0
        return Failure.BROKEN if began else Failure.NO_ANSWER

    def _broken(self, detail: str) -> Failed:
        return Failed(failure=self._break_failure(), detail=detail)
