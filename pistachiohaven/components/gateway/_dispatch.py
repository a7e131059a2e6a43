"""Dispatch of a request to one target, and forwarding of the response."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err

from pistachiohaven import platform
from pistachiohaven.components.fleet import RequestKind
from pistachiohaven.components.memory import Holding
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.components.quarantine import PROOF_AGE_MS
from pistachiohaven.components.retry import Failure
from pistachiohaven.components.web import (
    EndlessResponseError,
    Pacer,
    find_fault,
    is_request_cut,
    iter_body,
)
from pistachiohaven.helpers import Clock

from ._call import Call
from ._connections import (
    CONNECTION_ERRORS,
    Connection,
    ConnectionPool,
    ResponseHead,
    close_response,
    send_request,
)
from ._events import Event, EventFilter, EventSplitter
from ._stall import StallDetector
from ._state import GatewayState
from .const import (
    EVENT_GAP_STALL_FACTOR,
    FIRST_EVENT_STALL_FACTOR,
    MAX_RESPONSE_BYTES,
    MIN_STALL_MS,
)

Headers = list[tuple[bytes, bytes]]

SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR_STATUSES = range(500, 600)
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which a caller concludes that its request has not run."""

NOT_RUN_FAILURES = frozenset({Failure.NOT_SENT, Failure.NEVER_RAN})
"""Failures after which it is certain that the target did not run the request."""


NO_BODY = "no body and no known end"
"""Detail of a success without anything that says that it is whole.

A target that ends right after the head of a response of unknown length leaves the same.
"""

REQUEST_CUT = "reset before the request was sent"
"""Detail of a response whose end may be that of a connection that was reset."""

TWO_RESPONSES = "two responses in one body"
"""Detail of a response whose body contains the head of another one."""


class StreamSink(Protocol):
    """Receiver of the events of a stream, on behalf of the caller."""

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last event sent to the caller."""

    @property
    def is_started(self) -> bool:
        """Return True if the head of a response has been sent."""

    def continues_with(self, status: int, headers: Headers) -> bool:
        """Return True if a response with this head may go on with the one begun."""

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send status and headers; later calls have no effect."""

    async def send_events(self, events: list[Event]) -> None:
        """Send complete events."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CompleteResponse:
    """Complete response of a target that is not a stream.

    `has_known_end` is False if only the end of the connection marks that of the body.
    """

    status: int
    headers: Headers
    body: bytes
    has_known_end: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletedStream:
    """Result of a dispatch whose stream was forwarded to its end.

    `has_known_end` is as in `CompleteResponse`.
    """

    has_known_end: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedDispatch:
    """Result of a dispatch that failed.

    `response` is the target's own error response, if there is one. `has_responded` is
    True if the target's response is the reason of the failure, and False if the
    connection failed, stalled or ended before the response was complete. `is_cut` is
    True if it was the target that ended the connection.
    """

    failure: Failure
    detail: str
    has_responded: bool = False
    is_cut: bool = False
    response: CompleteResponse | None = None


DispatchResult = CompleteResponse | CompletedStream | FailedDispatch


class Dispatch:
    """One attempt to run a request on one target.

    `admit` is called when the request is about to be sent, and returns why it is not to
    be sent after all, None if it is. `may_move` is called with the failure that
    stopping now would be, and returns True if the request can move from a stalled
    target to another one now. `on_first_event`
    is called before the first event is forwarded. `used_connections` has the numbers of
    the connections on which the request was sent before: a late response to it there
    can't be told from the one to come. `holding` has the bytes of the response that are
    not sent yet. `is_sent` turns True when sending of
    the request begins. `is_proof` turns True, and `on_proof` is called, once the
    response has gone on for long enough to show that it does not crash the target.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        call: Call,
        body: bytes,
        load: TargetLoad,
        pool: ConnectionPool,
        used_connections: set[int],
        holding: Holding,
        sink: StreamSink,
        admit: Callable[[], str | None],
        may_move: Callable[[Failure], bool],
        on_first_event: Callable[[], None],
        on_proof: Callable[[], None],
    ) -> None:
        self._admit = admit
        self._on_first_event = on_first_event
        self._on_proof = on_proof
        self._call = call
        self._body = body
        self._load = load
        self._pool = pool
        self._used_connections = used_connections
        self._holding = holding
        self._clock: Clock = state.clock
        self._sink = sink
        self._stall_monitor = state.stall_monitor
        self._observe_notices = state.observe_notices
        self._observe_rate_limit = state.observe_rate_limit
        self._record_unreachable = state.record_unreachable
        self._limit_deadline = state.limit_deadline
        self._stall_detector = StallDetector(
            request_id=call.head.attempt_id,
            load=load,
            may_move=lambda: may_move(self._interruption_failure()),
            clock=state.clock,
            log=state.log,
        )
        self._splitter = EventSplitter()
        self._chunks: list[bytes] = []
        self._filter = EventFilter(last_event_id=sink.last_event_id)
        self._event_count = 0
        self._is_connection_released = False
        self.is_sent = False
        self._first_event_at_ms = 0
        self.is_proof = False

    async def run(self) -> DispatchResult:
        """Send the request, forward the response and update the target's load."""
        request_id = self._call.head.attempt_id
        try:
            acquired = await self._pool.acquire(
                self._load.target.address, excluded_numbers=self._used_connections
            )
        except BaseException:
            self._load.record_cancelled(request_id, now_ms=self._clock.now_ms())
            raise
        if isinstance(acquired, Err):
            self._load.record_failure(
                request_id, has_responded=False, now_ms=self._clock.now_ms()
            )
            self._record_unreachable(self._load, acquired.err_value)
            return FailedDispatch(failure=Failure.NOT_SENT, detail=acquired.err_value)
        connection = acquired.ok_value
        if not self._load.accepts_requests(now_ms=self._clock.now_ms()):
            self._load.record_cancelled(request_id, now_ms=self._clock.now_ms())
            await self._pool.close(connection)
            return FailedDispatch(
                failure=Failure.NOT_SENT, detail="target leaving, paused or evacuated"
            )
        if not self._load.try_send(now_ms=self._clock.now_ms()):
            self._load.record_cancelled(request_id)
            await self._pool.close(connection)
            return FailedDispatch(failure=Failure.NOT_SENT, detail="target cold")
        objection = self._admit()
        if objection is not None:
            self._load.record_cancelled(request_id, now_ms=self._clock.now_ms())
            await self._pool.close(connection)
            return FailedDispatch(failure=Failure.NOT_SENT, detail=objection)
        try:
            result = await self._exchange_until_stalled(connection)
        except EndlessResponseError as error:
            result = self._interrupted(str(error))
        except CONNECTION_ERRORS as error:
            result = self._interrupted(type(error).__name__, is_cut=True)
        except BaseException:
            self._load.record_cancelled(request_id, now_ms=self._clock.now_ms())
            await self._pool.close(connection)
            raise
        finally:
            # An exception keeps this object alive until the next garbage collection.
            self._chunks.clear()
            self._splitter.clear()
        if not self._is_connection_released:
            await self._pool.close(connection)
        self._record_result(result)
        return result

    def _record_result(self, result: DispatchResult) -> None:
        """Update the target's load with the result of the request."""
        now_ms = self._clock.now_ms()
        request_id = self._call.head.attempt_id
        if not isinstance(result, FailedDispatch):
            self._load.record_completed(
                request_id,
                events=self._event_count,
                tokens=self._token_count(),
                now_ms=now_ms,
            )
        elif result.failure is Failure.NEVER_RAN:
            self._load.record_rejection(request_id, now_ms=now_ms)
        else:
            self._load.record_failure(
                request_id, has_responded=result.has_responded, now_ms=now_ms
            )
            if not result.has_responded and self._load.failures_in_row > 1:
                self._record_unreachable(self._load, result.detail)

    def _token_count(self) -> int:
        """Return the number of output tokens after the first event."""
        tokens_per_event = self._call.pool.event_tokens if self._call.pool else 1
        return max(self._event_count - 1, 0) * tokens_per_event

    async def _exchange_until_stalled(self, connection: Connection) -> DispatchResult:
        """Exchange request and response; stop if the request moves to another target.

        It moves if its target stalls and `may_move` returns True. Only repeatable
        requests are watched, since no other can move.
        """
        if not self._call.route.is_repeatable:
            return await self._exchange(connection)
        self._stall_monitor.add(self._stall_detector)
        try:
            with self._stall_detector.cancel_scope:
                return await self._exchange(connection)
        finally:
            self._stall_monitor.remove(self._stall_detector)
        return self._interrupted("silent")

    async def _exchange(self, connection: Connection) -> DispatchResult:
        """Send the request and process its response."""
        call = self._call
        now_ms = self._clock.now_ms()
        headers = platform.encode_dispatch(
            call.headers,
            target_name=self._load.target.name,
            organisation=call.organisation.name if call.organisation else None,
            remaining_ms=self._limit_deadline(call.deadline_ms) - now_ms,
            body_bytes=len(self._body),
            resume_after=self._sink.last_event_id,
        )
        self.is_sent = True
        self._used_connections.add(connection.number)
        self._stall_detector.arm(timeout_ms=self._first_event_timeout_ms(now_ms=now_ms))
        head = await send_request(
            connection,
            method=call.method,
            request_target=call.request_target,
            headers=headers,
            body=self._body,
        )
        self._stall_detector.disarm()
        # Also from the head of another request's response: it is about the target.
        if head.status != platform.MISDIRECTED:
            self._observe_notices(self._load, head.status, head.headers)
        rejection_detail = self._check_head(head, is_reused=not connection.is_new)
        if rejection_detail is not None:
            return FailedDispatch(
                failure=Failure.NO_ANSWER, detail=rejection_detail, has_responded=True
            )
        if head.status != platform.MISDIRECTED:
            self._observe_rate_limit(
                self._load.target.name, head.headers, sent_ms=now_ms
            )
        if head.status in SUCCESS_STATUSES and call.route.kind is RequestKind.STREAM:
            return await self._forward_stream(connection, head)
        return await self._read_complete(connection, head)

    def _check_head(self, head: ResponseHead, *, is_reused: bool) -> str | None:
        """Return why a response head is invalid for this request, None if it is valid.

        A success must carry the attempt id and the target's signature, without a
        content coding. On a reused connection each response must carry the id: it may
        be that of an earlier request, once more.
        """
        fault = find_fault(head.response)
        if fault is not None:
            return fault
        attempt_id = platform.find_attempt_id(head.headers)
        if attempt_id is None and is_reused:
            return "answer of no known request"
        if attempt_id is not None and attempt_id != self._call.head.attempt_id:
            return "answer of another request"
        if head.status in SUCCESS_STATUSES:
            return _check_success(head)
        return None

    async def _read_complete(
        self, connection: Connection, head: ResponseHead
    ) -> DispatchResult:
        """Read a response that is not a stream."""
        size_bytes = 0
        async for chunk in iter_body(head.response):
            size_bytes += len(chunk)
            if not self._holding.resize(size_bytes):
                return self._out_of_memory()
            if size_bytes > MAX_RESPONSE_BYTES:
                return FailedDispatch(
                    failure=Failure.NO_ANSWER,
                    detail="answer too large",
                    has_responded=True,
                )
            self._chunks.append(chunk)
        body = b"".join(self._chunks)
        self._chunks.clear()
        is_rejected = platform.never_ran(head.status, head.headers)
        cut = None if is_rejected else self._find_cut(connection, head, body)
        if cut is not None:
            return cut
        await self._release_connection(connection, head)
        response = CompleteResponse(
            status=head.status,
            headers=platform.response_headers(head.headers),
            body=body,
            has_known_end=head.has_known_end,
        )
        if is_rejected:
            return FailedDispatch(
                failure=Failure.NEVER_RAN,
                detail=f"status {head.status}",
                has_responded=True,
            )
        if (
            head.status in SERVER_ERROR_STATUSES
            or head.status in NOT_RUN_STATUSES
            or self._sink.is_started
        ):
            return FailedDispatch(
                failure=Failure.FAILED,
                detail=f"status {head.status}",
                has_responded=True,
                response=response,
            )
        return response

    async def _forward_stream(
        self, connection: Connection, head: ResponseHead
    ) -> DispatchResult:
        """Forward a stream to the caller, complete events only."""
        is_continuation = self._sink.is_started
        if is_continuation and not self._sink.continues_with(head.status, head.headers):
            return FailedDispatch(
                failure=Failure.FAILED,
                detail="answer of another kind",
                has_responded=True,
            )
        await self._sink.start_response(
            head.status, platform.response_headers(head.headers)
        )
        pacer = Pacer()
        first_timeout_ms = self._first_event_timeout_ms(now_ms=self._clock.now_ms())
        async for chunk in self._iter_timed(
            iter_body(head.response, pacer), first_timeout_ms
        ):
            try:
                events = self._splitter.feed(chunk)
                _check_events(events)
                new_events = self._filter.select(events)
            except ValueError as error:
                return FailedDispatch(
                    failure=self._interruption_failure(),
                    detail=str(error),
                    has_responded=True,
                )
            if not self._holding.resize(self._splitter.buffered_bytes):
                return self._out_of_memory()
            if new_events:
                self._stall_detector.disarm()
            if events:
                await pacer.spend(len(events))
            if not new_events:
                continue
            if not self._event_count:
                self._first_event_at_ms = self._clock.now_ms()
                self._load.record_first_event(
                    self._call.head.attempt_id, now_ms=self._first_event_at_ms
                )
                self._on_first_event()
            self._event_count += len(new_events)
            self._check_proof()
            self._load.record_events(
                self._call.head.attempt_id,
                events=self._event_count,
                tokens=self._token_count(),
                now_ms=self._clock.now_ms(),
            )
            await self._sink.send_events(new_events)
        cut = self._find_stream_cut(head)
        if cut is not None:
            return cut
        await self._release_connection(connection, head)
        return CompletedStream(has_known_end=head.has_known_end)

    def _find_cut(
        self, connection: Connection, head: ResponseHead, body: bytes
    ) -> FailedDispatch | None:
        """Return the failure of a response whose body is not whole, or None."""
        if _ends_within(body, connection.unread_bytes):
            return self._merged()
        if head.has_known_end:
            return None
        if is_request_cut(head.response):
            return self._interrupted(REQUEST_CUT, is_cut=True)
        if head.status in SUCCESS_STATUSES and not body:
            return self._interrupted(NO_BODY, is_cut=True)
        return None

    def _find_stream_cut(self, head: ResponseHead) -> FailedDispatch | None:
        """Return the failure of a stream that has ended, None if it is whole."""
        if self._splitter.has_partial_event:
            return FailedDispatch(
                failure=Failure.BROKEN, detail="cut within an event", is_cut=True
            )
        if head.has_known_end:
            return None
        if is_request_cut(head.response):
            return self._interrupted(REQUEST_CUT, is_cut=True)
        if not self._event_count:
            return self._interrupted(NO_BODY, is_cut=True)
        return None

    def _check_proof(self) -> None:
        """Call `on_proof` once the response has gone on for `PROOF_AGE_MS`."""
        age_ms = self._clock.now_ms() - self._first_event_at_ms
        if not self.is_proof and age_ms >= PROOF_AGE_MS:
            self.is_proof = True
            self._on_proof()

    async def _release_connection(
        self, connection: Connection, head: ResponseHead
    ) -> None:
        """Return the connection of a fully read response to the pool."""
        await close_response(head)
        await self._pool.release(connection, head.headers)
        self._is_connection_released = True

    async def _iter_timed(
        self, chunks: AsyncIterator[bytes], first_timeout_ms: float
    ) -> AsyncIterator[bytes]:
        """Yield `chunks`; the stall detector runs while waiting for an event."""
        gap_timeout_ms = EVENT_GAP_STALL_FACTOR * self._call.route.event_gap_target_ms
        gap_timeout_ms = max(gap_timeout_ms, MIN_STALL_MS)
        while True:
            timeout_ms = gap_timeout_ms if self._event_count else first_timeout_ms
            chunk = await self._stall_detector.next_chunk(chunks, timeout_ms=timeout_ms)
            if chunk is None:
                return
            yield chunk

    def _first_event_timeout_ms(self, *, now_ms: int) -> float:
        """Return the time without an event after which the target counts as stalled."""
        expected_ms = self._load.expected_first_event_ms(
            self._call.job(), now_ms=now_ms
        )
        return max(FIRST_EVENT_STALL_FACTOR * expected_ms, MIN_STALL_MS)

    def _interruption_failure(self) -> Failure:
        """Return which failure it is if the connection breaks or is closed now."""
        has_response_started = (
            self._sink.last_event_id is not None or self._event_count > 0
        )
        return Failure.BROKEN if has_response_started else Failure.NO_ANSWER

    def _out_of_memory(self) -> FailedDispatch:
        """Return the result of an exchange for whose response there is no memory."""
        return FailedDispatch(
            failure=self._interruption_failure(),
            detail="no memory",
            has_responded=True,
        )

    def _merged(self) -> FailedDispatch:
        """Return the result of an exchange whose content holds a second response."""
        return FailedDispatch(
            failure=self._interruption_failure(),
            detail=TWO_RESPONSES,
            has_responded=True,
        )

    def _interrupted(self, detail: str, *, is_cut: bool = False) -> FailedDispatch:
        """Return the result of an exchange that ended before its response did."""
        return FailedDispatch(
            failure=self._interruption_failure(), detail=detail, is_cut=is_cut
        )


def _check_events(events: list[Event]) -> None:
    """Raise ValueError if an event contains the head of another response."""
    if any(platform.find_response(event.data) is not None for event in events):
        raise ValueError(TWO_RESPONSES)


def _ends_within(body: bytes, unread_bytes: bytes) -> bool:
    """Return True if a second response begins within `body`, which took its bytes.

    A target may end within a body and send another response on the same connection,
    whose first bytes then complete the body. `unread_bytes` are those after it.
    """
    begin = platform.find_response(body + unread_bytes)
    return begin is not None and begin < len(body)


def _check_success(head: ResponseHead) -> str | None:
    """Return why the head of a success is invalid, None if it is valid."""
    has_id = platform.find_attempt_id(head.headers) is not None
    if not has_id or not platform.is_stamped(head.headers):
        return "answer without signature"
    if any(name == b"content-encoding" for name, _ in head.headers):
        return "answer with an encoding"
    return None
