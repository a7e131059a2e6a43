"""Execution of the actions of one request against sidecars and key owners."""

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TypeVar

import httpcore
import trio
import xxhash
from result import Err, Ok, Result

from pistachiohaven.components.admission import ThresholdUpdate
from pistachiohaven.components.dispatch import Claim, Key, Ticket
from pistachiohaven.components.node import Node
from pistachiohaven.components.peer import (
    AbandonMessage,
    ClaimResponse,
    OfferFacts,
    OfferMessage,
    Report,
    ResumeMessage,
    StageResponse,
    decode,
    decode_report,
    encode,
)
from pistachiohaven.components.peer import const as wire
from pistachiohaven.components.routing import Router
from pistachiohaven.components.routing.const import SHED_THRESHOLD_MS
from pistachiohaven.components.web import CallError, call, iter_body, read_content
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance, Reason

from ._caller_request import CallerRequest
from ._caller_response import CallerResponse
from ._metrics import EntryMetrics
from ._peer_responses import claim_event, response_event
from ._request import RequestCore
from ._steps import (
    ClaimLost,
    ClaimRefused,
    DeadlineExpired,
    Event,
    NotSent,
    Polled,
    ResponseCompleted,
    ResponseLost,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    StageReceived,
)
from .const import (
    CONNECT_TIMEOUT_MS,
    CONTROL_TIMEOUT_MS,
    POLL_TIMEOUT_MS,
    RECOVERY_PAUSE_MS,
    RECOVERY_TIMEOUT_MS,
    STALL_CHECK_MS,
)

ResponseT = TypeVar("ResponseT")

_CALL_TIMEOUTS_S = {"connect": CONNECT_TIMEOUT_MS / MS_PER_S}


@dataclass(slots=True, kw_only=True)
class ResponseWait:
    """Wait for a response, and whether the deadline ended it.

    Cancelling `scope` ends the wait.
    """

    scope: trio.CancelScope
    has_deadline_expired: bool = False


class ActionExecutor:
    """Executor of the actions of one request.

    Each action results in exactly one event. `offer_count` counts the offers made;
    `first_byte_ms` is the monotonic time of the first response byte.
    """

    def __init__(
        self,
        *,
        core: RequestCore,
        caller_request: CallerRequest,
        caller_response: CallerResponse,
        node: Node,
        router: Router,
        metrics: EntryMetrics,
    ) -> None:
        self._core = core
        self._caller_request = caller_request
        self._caller_response = caller_response
        self._node = node
        self._router = router
        self._metrics = metrics
        self._last_offer: SendOffer | None = None
        self._last_offer_address = ""
        self._started_ms = node.clock.now_ms()
        self.first_byte_ms: int | None = None
        self.offer_count = 0

    @singledispatchmethod
    async def perform(self, action: object) -> Event:
        """Execute `action` and return the resulting event.

        Raises TypeError for an object that is not an action.
        """
        raise TypeError(f"unsupported action: {action!r}")

    # Claims

    @perform.register
    async def _(self, action: SendClaim) -> Event:
        key = self._caller_request.key
        assert key is not None
        owner = self._find_key_owner(key)
        if isinstance(owner, Err):
            return ClaimRefused(reason=owner.err_value)
        body = encode(self._make_claim(action, key))
        deadline_ms = self._node.clock.now_ms() + RECOVERY_TIMEOUT_MS
        while self._node.clock.now_ms() < deadline_ms:
            response = await self._send_control(
                owner.ok_value.address, wire.CLAIM_PATH, body, ClaimResponse
            )
            if isinstance(response, Ok):
                return claim_event(response.ok_value)
            await trio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        return ClaimLost()

    def _find_key_owner(self, key: Key) -> Result[Instance, Reason]:
        """Return the sidecar that owns `key`, or why there is no provable owner."""
        if isinstance(key, Ticket):
            owner = self._node.membership.instance(key.owner)
            return Err(Reason.HOME_UNREACHABLE) if owner is None else Ok(owner)
        if self._caller_request.leaf.plain_keys != "home":
            return Err(Reason.HOME_NOT_PROVEN)
        qualified_key = f"{self._caller_request.work.organisation}/{key.text}"
        return self._node.membership.owner_of(key=qualified_key, stamp_ms=key.stamp_ms)

    def _make_claim(self, action: SendClaim, key: Key) -> Claim:
        body = self._caller_request.body + self._caller_request.path.encode()
        return Claim(
            organisation=self._caller_request.work.organisation,
            key=key.text,
            request_id=self._caller_request.work.request_id,
            fingerprint=xxhash.xxh3_128_hexdigest(body),
            sidecar=action.sidecar,
            incarnation=action.incarnation,
            released_attempt=action.released_attempt,
            release=action.release,
        )

    # Offers, resumptions, withdrawals and polls

    @perform.register
    async def _(self, action: SendOffer) -> Event:
        address = self._find_address(action.sidecar)
        if address is None:
            return NotSent()
        self._last_offer = action
        self._last_offer_address = address
        self.offer_count += 1
        message = OfferMessage(
            facts=self._make_offer_facts(action.attempt, action.incarnation),
            path=self._caller_request.path,
            content_type=self._caller_request.content_type,
            body=self._caller_request.body,
        )
        return await self._stream_response(address, wire.OFFER_PATH, encode(message))

    @perform.register
    async def _(self, action: SendResume) -> Event:
        address = self._find_address(action.sidecar)
        if address is None:
            return ResponseLost()
        self._metrics.resumes.inc()
        message = ResumeMessage(
            request_id=action.request_id,
            incarnation=action.incarnation,
            offset_bytes=self._caller_response.offset_bytes,
        )
        event = await self._stream_response(address, wire.RESUME_PATH, encode(message))
        return self._response_lost() if isinstance(event, NotSent) else event

    @perform.register
    async def _(self, action: SendWithdraw) -> Event:
        address = self._find_address(action.sidecar)
        body = encode(self._make_offer_facts(action.attempt, action.incarnation))
        deadline_ms = self._node.clock.now_ms() + RECOVERY_TIMEOUT_MS
        while address is not None and self._node.clock.now_ms() < deadline_ms:
            response = await self._send_control(
                address, wire.WITHDRAW_PATH, body, StageResponse
            )
            if isinstance(response, Ok):
                return StageReceived(response=response.ok_value)
            await trio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        return StageReceived(response=None)

    @perform.register
    async def _(self, action: SendPoll) -> Event:
        update = ThresholdUpdate(
            rank=self._caller_request.work.rank, left_ms=SHED_THRESHOLD_MS
        )
        body = encode(update)
        with trio.move_on_after(POLL_TIMEOUT_MS / MS_PER_S):
            async with trio.open_nursery() as nursery:
                for sidecar in action.sidecars:
                    nursery.start_soon(self._poll_sidecar, sidecar, body)
        return Polled()

    async def _poll_sidecar(self, sidecar: str, body: bytes) -> None:
        address = self._find_address(sidecar)
        if address is not None:
            await self._send_control(address, wire.THRESHOLD_PATH, body, Report)

    async def abandon(self) -> None:
        """Notify the sidecar of the last offer that its response is no longer needed.

        The caller has disconnected or the deadline has expired.
        """
        if self._last_offer is None:
            return
        address = self._find_address(self._last_offer.sidecar)
        if address is None:
            return
        message = AbandonMessage(
            request_id=self._caller_request.work.request_id,
            incarnation=self._last_offer.incarnation,
        )
        await call(
            self._node.pool,
            address=address,
            path=wire.ABANDON_PATH,
            body=encode(message),
            timeout_ms=CONTROL_TIMEOUT_MS,
        )

    # Streamed responses

    async def _stream_response(self, address: str, path: str, body: bytes) -> Event:
        """Send `body` and forward the streamed response to the caller.

        Returns the event that the call results in; a broken connection counts as a
        lost response.
        """
        event: Event | None = None
        wait = ResponseWait(scope=trio.CancelScope())
        try:
            async with trio.open_nursery() as nursery:
                wait.scope = nursery.cancel_scope
                nursery.start_soon(self._watch_for_stall, address, wait)
                event = await self._send_and_forward(
                    address, path, body, nursery.cancel_scope
                )
                nursery.cancel_scope.cancel()
        except* (httpcore.ConnectError, httpcore.ConnectTimeout):
            event = NotSent()
        except* (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ):
            event = self._response_lost()
        if event is None:
            return (
                DeadlineExpired()
                if wait.has_deadline_expired
                else self._response_lost()
            )
        return event

    def _response_lost(self) -> ResponseLost:
        return ResponseLost(has_response_bytes=self.first_byte_ms is not None)

    async def _send_and_forward(
        self, address: str, path: str, body: bytes, cancel_scope: trio.CancelScope
    ) -> Event:
        headers = [
            (b"host", address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        async with self._node.pool.stream(
            "POST",
            f"http://{address}{path}",
            headers=headers,
            content=body,
            extensions={"timeout": _CALL_TIMEOUTS_S},
        ) as response:
            response_headers = {name.lower(): value for name, value in response.headers}
            self._apply_report(response_headers)
            if response.status != wire.STATUS_DISPATCHED:
                return response_event(response.status, await read_content(response))
            self._caller_response.set_head(
                status=int(
                    response_headers.get(wire.TARGET_STATUS_HEADER.encode(), b"200")
                ),
                content_type=response_headers.get(b"content-type", b"application/json"),
            )
            async for chunk in iter_body(response):
                self._record_first_byte()
                await self._caller_response.forward_chunk(chunk)
        return ResponseCompleted()

    def _record_first_byte(self) -> None:
        if self.first_byte_ms is not None:
            return
        self.first_byte_ms = self._node.clock.now_ms()
        if self._last_offer is None:
            return
        view = self._router.view(self._last_offer.sidecar)
        if view is not None:
            view.record_first_byte(
                waited_ms=self.first_byte_ms - self._started_ms,
                prompt_tokens=self._caller_request.work.prefill_tokens,
            )

    async def _watch_for_stall(self, address: str, wait: ResponseWait) -> None:
        """Cancel the wait for bytes if the sidecar stalls or the deadline passes.

        After each interval without bytes, the sidecar is asked for the stage of the
        request. If it responds, the wait continues. The deadline applies only to the
        first byte.
        """
        deadline_ms = self._started_ms + self._caller_request.leaf.deadline_ms
        offer = self._last_offer
        while offer is not None:
            offset_before = self._caller_response.offset_bytes
            remaining_ms = deadline_ms - self._node.clock.now_ms()
            if self.first_byte_ms is None and remaining_ms <= 0:
                wait.has_deadline_expired = True
                wait.scope.cancel()
                return
            is_before_first_byte = self.first_byte_ms is None
            pause_ms = (
                min(STALL_CHECK_MS, remaining_ms)
                if is_before_first_byte
                else STALL_CHECK_MS
            )
            await trio.sleep(pause_ms / MS_PER_S)
            if self._caller_response.offset_bytes != offset_before:
                continue
            body = encode(self._make_offer_facts(offer.attempt, offer.incarnation))
            response = await self._send_control(
                address, wire.STAGE_PATH, body, StageResponse
            )
            if isinstance(response, Err):
                wait.scope.cancel()

    # Control messages

    async def _send_control(
        self, address: str, path: str, body: bytes, kind: type[ResponseT]
    ) -> Result[ResponseT, CallError]:
        """Send a control message and return the decoded response."""
        self._node.control_bytes += len(body)
        call_result = await call(
            self._node.pool,
            address=address,
            path=path,
            body=body,
            timeout_ms=CONTROL_TIMEOUT_MS,
        )
        if isinstance(call_result, Err):
            return call_result
        self._apply_report(call_result.ok_value.headers)
        message = decode(call_result.ok_value.body, kind)
        return message if isinstance(message, Ok) else Err(CallError.BROKEN)

    def _apply_report(self, headers: dict[bytes, bytes]) -> None:
        value = headers.get(wire.REPORT_HEADER.encode())
        report = None if value is None else decode_report(value)
        if report is not None:
            now_ms = self._node.clock.now_ms()
            self._router.apply_report(report, measured_ms=now_ms)

    def _make_offer_facts(self, attempt: int, incarnation: str) -> OfferFacts:
        return OfferFacts(
            work=self._core.remaining_work(now_ms=self._node.clock.now_ms()),
            attempt=attempt,
            incarnation=incarnation,
            stamp_ms=self._caller_request.received_wall_ms,
            threshold=self._router.threshold(self._caller_request.work.pool).to_update(
                now_ms=self._node.clock.now_ms()
            ),
        )

    def _find_address(self, sidecar: str) -> str | None:
        """Return the address of a sidecar, or None if it is unknown.

        For the sidecar of the last offer, this is the address that the offer was sent
        to: an instance that has left the list may still be processing the request.
        """
        if self._last_offer is not None and self._last_offer.sidecar == sidecar:
            return self._last_offer_address
        view = self._router.view(sidecar)
        if view is not None:
            return view.instance.address
        instance = self._node.membership.instance(sidecar)
        return None if instance is None else instance.address
