"""HTTP interface of a sidecar for entries, peers and operators."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import TypeAlias, TypeVar

import trio
from prometheus_client import generate_latest
from result import Err, Ok

from pistachiohaven.components.admission import Refuse, ThresholdUpdate
from pistachiohaven.components.dispatch import Claim, KeyOwner
from pistachiohaven.components.node import Node
from pistachiohaven.components.node.const import MAX_CONTROL_BYTES
from pistachiohaven.components.peer import (
    AbandonMessage,
    ClaimResponse,
    DuplicateMessage,
    OfferFacts,
    OfferMessage,
    RefusalMessage,
    Report,
    ResumeMessage,
    decode,
    encode,
    encode_report,
)
from pistachiohaven.components.peer import const as wire
from pistachiohaven.components.web import (
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
    send_response,
    start_response,
)
from pistachiohaven.components.web.const import BAD_REQUEST, NOT_FOUND, OK
from pistachiohaven.const import MAX_BODY_BYTES
from pistachiohaven.core import NO_TOMBSTONE, Phase, Reason

from ._core import SidecarCore
from ._models import ReportDuplicate
from ._response import BufferedResponse, ResponseState
from ._runner import EffectRunner
from .const import COALESCE_MS, OFFER_OVERHEAD_BYTES, OFFER_TIMEOUT_MS

MessageT = TypeVar("MessageT")
Headers: TypeAlias = list[tuple[bytes, bytes]]
Handler: TypeAlias = Callable[[bytes, Receive, Send], Awaitable[None]]

SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarStatus:
    """Status of a sidecar, as sent to operators.

    `queued` and `running` contain request ids. `remembered` counts the recorded
    dispatch ids, `keys_claimed` the keys of which this sidecar is the owner.
    """

    name: str
    phase: Phase
    incarnation: str
    revision: int
    list_version: int
    queued: list[str]
    running: list[str]
    remembered: int
    keys_claimed: int


class SidecarApp:
    """ASGI application of a sidecar."""

    def __init__(
        self,
        *,
        core: SidecarCore,
        key_owner: KeyOwner,
        runner: EffectRunner,
        node: Node,
    ) -> None:
        self._core = core
        self._key_owner = key_owner
        self._runner = runner
        self._node = node
        self._post_handlers: dict[str, Handler] = {
            wire.OFFER_PATH: self._handle_offer,
            wire.WITHDRAW_PATH: self._handle_withdraw,
            wire.STAGE_PATH: self._handle_stage,
            wire.RESUME_PATH: self._handle_resume,
            wire.ABANDON_PATH: self._handle_abandon,
            wire.CLAIM_PATH: self._handle_claim,
            wire.THRESHOLD_PATH: self._handle_threshold,
            wire.SYNC_PATH: self._handle_sync,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        handler = self._post_handlers.get(request.path)
        if request.method == "POST" and handler is not None:
            body = await read_body(
                receive,
                limit_bytes=max(
                    MAX_CONTROL_BYTES, MAX_BODY_BYTES + OFFER_OVERHEAD_BYTES
                ),
                timeout_ms=OFFER_TIMEOUT_MS,
            )
            if isinstance(body, Err):
                await self._send_bad_request(send, body.err_value)
                return
            await handler(body.ok_value, receive, send)
            return
        await self._handle_get(request, send)

    async def _handle_get(self, request: HttpRequest, send: Send) -> None:
        """Respond to operators and to probes."""
        if request.path == wire.REPORT_PATH:
            await self._send_message(send, OK, self._make_report())
        elif request.path == "/metrics":
            self._runner.metrics.revision.set(self._node.store.revision)
            self._runner.metrics.control_bytes.set(self._node.control_bytes)
            body = generate_latest(self._runner.metrics.registry)
            await send_response(send, status=OK, headers=[], body=body)
        elif request.path == "/healthz":
            await send_json(send, status=OK, content={"alive": True})
        elif request.path == "/readyz":
            is_ready = self._core.lifecycle.refusal() is None
            status = OK if is_ready else SERVICE_UNAVAILABLE
            phase = self._core.lifecycle.phase
            await send_json(send, status=status, content={"phase": phase})
        elif request.path == "/status":
            await send_json(send, status=OK, content=asdict(self._make_status()))
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    def _make_status(self) -> SidecarStatus:
        admission = self._core.admission
        return SidecarStatus(
            name=self._core.name,
            phase=self._core.lifecycle.phase,
            incarnation=self._core.incarnation,
            queued=[item.work.request_id for item in admission.queue],
            running=list(admission.running),
            remembered=len(self._core.record),
            keys_claimed=len(self._key_owner),
            **self._applied_versions(),
        )

    def _applied_versions(self) -> dict[str, int]:
        return {
            "revision": self._node.store.revision,
            "list_version": self._node.membership.version,
        }

    # Calls of entries and peers

    async def _handle_offer(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._decode_message(body, OfferMessage, send)
        if message is None:
            return
        work = message.facts.work
        effects = self._runner.offer(message)
        own_effects = [
            item for item in effects if item.work.request_id == work.request_id
        ]
        own_effect = own_effects[0] if own_effects else None
        if isinstance(own_effect, ReportDuplicate):
            duplicate_message = DuplicateMessage(
                request_id=own_effect.request_id, stage=own_effect.stage
            )
            await self._send_message(send, wire.STATUS_DUPLICATE, duplicate_message)
            return
        if isinstance(own_effect, Refuse):
            await self._send_refusal(send, own_effect.reason, own_effect.retry_after_ms)
            return
        response = self._runner.responses.get(work.request_id)
        assert response is not None
        await self._stream_response(work.request_id, response, 0, receive, send)

    async def _handle_resume(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._decode_message(body, ResumeMessage, send)
        if message is None:
            return
        response = self._runner.responses.get(message.request_id)
        if message.incarnation != self._core.incarnation or response is None:
            await self._send_message(
                send, wire.STATUS_GONE, _gone_message(Reason.ANSWER_NOT_KEPT)
            )
            return
        await self._stream_response(
            message.request_id, response, message.offset_bytes, receive, send
        )

    async def _stream_response(
        self,
        request_id: str,
        response: BufferedResponse,
        offset_bytes: int,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send a response from `offset_bytes` to its end or until a disconnect."""
        reader_id = response.open_reader(offset_bytes)
        if reader_id is None:
            await self._send_message(
                send, wire.STATUS_GONE, _gone_message(Reason.ANSWER_NOT_KEPT)
            )
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
                await self._send_response(response, reader_id, send)
                nursery.cancel_scope.cancel()
        finally:
            response.close_reader(reader_id)
            self._runner.handle_reader_closed(request_id, response)

    async def _send_response(
        self, response: BufferedResponse, reader_id: int, send: Send
    ) -> None:
        await response.wait_until_started()
        if response.state is ResponseState.REFUSED:
            reason = response.reason or Reason.WITHDRAWN
            await self._send_refusal(send, reason, response.retry_after_ms)
            return
        if not response.status:
            reason = response.reason or Reason.TARGET_FAILED
            await self._send_message(send, wire.STATUS_GONE, _gone_message(reason))
            return
        headers = [
            (b"content-type", response.content_type),
            (wire.TARGET_STATUS_HEADER.encode(), str(response.status).encode()),
            self._report_header(),
        ]
        await start_response(send, status=wire.STATUS_DISPATCHED, headers=headers)
        while chunk := await response.read(reader_id):
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await response.wait_to_coalesce(max_wait_ms=COALESCE_MS)
        # An incomplete response gets no final event, so that its reader does not
        # treat it as complete.
        if response.state is ResponseState.WHOLE:
            await send({"type": "http.response.body", "body": b""})

    async def _handle_withdraw(self, body: bytes, receive: Receive, send: Send) -> None:
        facts = await self._decode_message(body, OfferFacts, send)
        if facts is None:
            return
        now_ms = self._node.clock.now_ms()
        stage_response = self._core.withdraw(facts, now_ms=now_ms)
        response = self._runner.responses.get(facts.work.request_id)
        if response is not None and stage_response.reason is Reason.WITHDRAWN:
            response.finish(ResponseState.REFUSED, Reason.WITHDRAWN)
            self._runner.responses.close(facts.work.request_id)
        await self._send_message(send, OK, stage_response)

    async def _handle_stage(self, body: bytes, receive: Receive, send: Send) -> None:
        facts = await self._decode_message(body, OfferFacts, send)
        if facts is not None:
            await self._send_message(send, OK, self._core.stage(facts))

    async def _handle_abandon(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._decode_message(body, AbandonMessage, send)
        if message is None:
            return
        response = self._runner.responses.get(message.request_id)
        is_same_incarnation = message.incarnation == self._core.incarnation
        is_only_reader = response is not None and len(response.reader_offsets) <= 1
        if is_same_incarnation and is_only_reader:
            self._runner.abandon(message.request_id)
        await send_response(send, status=OK, headers=[], body=b"")

    async def _handle_claim(self, body: bytes, receive: Receive, send: Send) -> None:
        claim = await self._decode_message(body, Claim, send)
        if claim is None:
            return
        clock = self._node.clock
        claim_result = self._key_owner.claim(
            claim, now_ms=clock.now_ms(), wall_ms=clock.wall_ms()
        )
        if isinstance(claim_result, Ok):
            claim_response = ClaimResponse(grant=claim_result.ok_value, reason=None)
        else:
            claim_response = ClaimResponse(grant=None, reason=claim_result.err_value)
        self._runner.metrics.claims.labels(claim_response.reason or "granted").inc()
        await self._send_message(send, OK, claim_response)

    async def _handle_threshold(
        self, body: bytes, receive: Receive, send: Send
    ) -> None:
        update = await self._decode_message(body, ThresholdUpdate, send)
        if update is None:
            return
        now_ms = self._node.clock.now_ms()
        self._runner.execute(self._core.raise_threshold(update, now_ms=now_ms))
        await self._send_message(send, OK, self._make_report())

    async def _handle_sync(self, body: bytes, receive: Receive, send: Send) -> None:
        content = self._node.respond_to_sync(body)
        if content is None:
            await self._send_bad_request(send, "not a comparison")
            return
        await send_response(send, status=OK, headers=[], body=content)

    # Responses

    async def _decode_message(
        self, body: bytes, kind: type[MessageT], send: Send
    ) -> MessageT | None:
        """Return the message in `body`; respond with an error if it is invalid."""
        message = decode(body, kind)
        if isinstance(message, Ok):
            return message.ok_value
        await self._send_bad_request(send, message.err_value)
        return None

    async def _send_bad_request(self, send: Send, reason: str) -> None:
        content = {"code": Reason.BAD_REQUEST, "message": reason}
        await send_json(send, status=BAD_REQUEST, content=content)

    async def _send_refusal(
        self, send: Send, reason: Reason, retry_after_ms: int
    ) -> None:
        message = RefusalMessage(
            reason=reason,
            retry_after_ms=retry_after_ms,
            tombstoned=reason not in NO_TOMBSTONE,
        )
        await self._send_message(send, wire.STATUS_REFUSED, message)

    async def _send_message(self, send: Send, status: int, message: object) -> None:
        headers: Headers = [
            (b"content-type", wire.CONTENT_TYPE.encode()),
            self._report_header(),
        ]
        await send_response(send, status=status, headers=headers, body=encode(message))

    def _report_header(self) -> tuple[bytes, bytes]:
        return wire.REPORT_HEADER.encode(), encode_report(self._make_report())

    def _make_report(self) -> Report:
        now_ms = self._node.clock.now_ms()
        return self._core.report(now_ms=now_ms, **self._applied_versions())


def _gone_message(reason: Reason) -> RefusalMessage:
    """Return the message for a dispatched request without a response to send."""
    return RefusalMessage(reason=reason, retry_after_ms=0, tombstoned=False)


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel `scope` when the reader closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
