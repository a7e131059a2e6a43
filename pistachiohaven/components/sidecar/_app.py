"""Answer entries, homes, peers and operators over HTTP."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import TypeAlias, TypeVar

import trio
from prometheus_client import generate_latest
from result import Err, Ok

from pistachiohaven.components.admission import Refuse, ThresholdUpdate
from pistachiohaven.components.dispatch import Claim, KeyHome
from pistachiohaven.components.node import Node
from pistachiohaven.components.node.const import MAX_CONTROL_BYTES
from pistachiohaven.components.peer import (
    AbandonMessage,
    ClaimAnswer,
    KnownMessage,
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
    send_reply,
    start_stream,
)
from pistachiohaven.components.web.const import BAD_REQUEST, NOT_FOUND, OK
from pistachiohaven.const import MAX_BODY_BYTES
from pistachiohaven.core import NO_TOMBSTONE, Phase, Reason

from ._answer import Answer, AnswerState
from ._core import SidecarCore
from ._models import Known
from ._runner import Runner
from .const import GATHER_MS, OFFER_ROOM_BYTES, OFFER_TIMEOUT_MS

MessageT = TypeVar("MessageT")
Headers: TypeAlias = list[tuple[bytes, bytes]]
Handler: TypeAlias = Callable[[bytes, Receive, Send], Awaitable[None]]

SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Say what a sidecar knows and holds, for operators."""

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
    """Route the calls that reach a sidecar."""

    def __init__(
        self, *, core: SidecarCore, home: KeyHome, runner: Runner, node: Node
    ) -> None:
        self._core = core
        self._home = home
        self._runner = runner
        self._node = node
        self._posts: dict[str, Handler] = {
            wire.OFFER_PATH: self._offer,
            wire.WITHDRAW_PATH: self._withdraw,
            wire.STAGE_PATH: self._stage,
            wire.RESUME_PATH: self._resume,
            wire.ABANDON_PATH: self._abandon,
            wire.CLAIM_PATH: self._claim,
            wire.THRESHOLD_PATH: self._threshold,
            wire.SYNC_PATH: self._sync,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        request = HttpRequest.from_scope(scope)
        handler = self._posts.get(request.path)
        if request.method == "POST" and handler is not None:
            body = await read_body(
                receive,
                limit_bytes=max(MAX_CONTROL_BYTES, MAX_BODY_BYTES + OFFER_ROOM_BYTES),
                timeout_ms=OFFER_TIMEOUT_MS,
            )
            if isinstance(body, Err):
                await self._bad(send, body.err_value)
                return
            await handler(body.ok_value, receive, send)
            return
        await self._get(request, send)

    async def _get(self, request: HttpRequest, send: Send) -> None:
        """Answer operators and probes."""
        if request.path == wire.REPORT_PATH:
            await self._reply(send, OK, self._report())
        elif request.path == "/metrics":
            self._runner.metrics.revision.set(self._node.store.revision)
            self._runner.metrics.control_bytes.set(self._node.control_bytes)
            body = generate_latest(self._runner.metrics.registry)
            await send_reply(send, status=OK, headers=[], body=body)
        elif request.path == "/healthz":
            await send_json(send, status=OK, content={"alive": True})
        elif request.path == "/readyz":
            ready = self._core.lifecycle.refusal() is None
            status = OK if ready else SERVICE_UNAVAILABLE
            phase = self._core.lifecycle.phase
            await send_json(send, status=status, content={"phase": phase})
        elif request.path == "/status":
            await send_json(send, status=OK, content=asdict(self._status()))
        else:
            await send_json(send, status=NOT_FOUND, content={"code": "not_found"})

    def _status(self) -> Status:
        admission = self._core.admission
        return Status(
            name=self._core.name,
            phase=self._core.lifecycle.phase,
            incarnation=self._core.incarnation,
            queued=[item.work.request_id for item in admission.queue],
            running=list(admission.running),
            remembered=len(self._core.record),
            keys_claimed=len(self._home),
            **self._heights(),
        )

    def _heights(self) -> dict[str, int]:
        return {
            "revision": self._node.store.revision,
            "list_version": self._node.membership.version,
        }

    # Calls of entries

    async def _offer(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._read(body, OfferMessage, send)
        if message is None:
            return
        work = message.facts.work
        effects = self._runner.offer(message)
        own = [item for item in effects if item.work.request_id == work.request_id]
        declined = own[0] if own else None
        if isinstance(declined, Known):
            known = KnownMessage(request_id=declined.request_id, stage=declined.stage)
            await self._reply(send, wire.STATUS_KNOWN, known)
            return
        if isinstance(declined, Refuse):
            await self._refuse(send, declined.reason, declined.retry_after_ms)
            return
        answer = self._runner.answers.get(work.request_id)
        assert answer is not None
        await self._stream(work.request_id, answer, 0, receive, send)

    async def _resume(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._read(body, ResumeMessage, send)
        if message is None:
            return
        answer = self._runner.answers.get(message.request_id)
        if message.incarnation != self._core.incarnation or answer is None:
            await self._reply(send, wire.STATUS_GONE, _gone(Reason.ANSWER_NOT_KEPT))
            return
        await self._stream(
            message.request_id, answer, message.offset_bytes, receive, send
        )

    async def _stream(
        self,
        request_id: str,
        answer: Answer,
        offset_bytes: int,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send an answer from `offset_bytes` on, until its end or the reader's."""
        reader = answer.open_reader(offset_bytes)
        if reader is None:
            await self._reply(send, wire.STATUS_GONE, _gone(Reason.ANSWER_NOT_KEPT))
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_watch_reader, receive, nursery.cancel_scope)
                await self._send_answer(answer, reader, send)
                nursery.cancel_scope.cancel()
        finally:
            answer.close_reader(reader)
            self._runner.reader_left(request_id, answer)

    async def _send_answer(self, answer: Answer, reader: int, send: Send) -> None:
        await answer.settled()
        if answer.state is AnswerState.REFUSED:
            reason = answer.reason or Reason.WITHDRAWN
            await self._refuse(send, reason, answer.retry_after_ms)
            return
        if not answer.status:
            reason = answer.reason or Reason.TARGET_FAILED
            await self._reply(send, wire.STATUS_GONE, _gone(reason))
            return
        headers = [
            (b"content-type", answer.content_type),
            (wire.TARGET_STATUS_HEADER.encode(), str(answer.status).encode()),
            self._report_header(),
        ]
        await start_stream(send, status=wire.STATUS_DISPATCHED, headers=headers)
        while chunk := await answer.read(reader):
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            await answer.gather(within_ms=GATHER_MS)
        # A cut answer is left without its end, so that no reader takes it for whole.
        if answer.state is AnswerState.WHOLE:
            await send({"type": "http.response.body", "body": b""})

    async def _withdraw(self, body: bytes, receive: Receive, send: Send) -> None:
        facts = await self._read(body, OfferFacts, send)
        if facts is None:
            return
        now_ms = self._node.clock.now_ms()
        staged = self._core.withdraw(facts, now_ms=now_ms)
        answer = self._runner.answers.get(facts.work.request_id)
        if answer is not None and staged.reason is Reason.WITHDRAWN:
            answer.finish(AnswerState.REFUSED, Reason.WITHDRAWN)
            self._runner.answers.close(facts.work.request_id)
        await self._reply(send, OK, staged)

    async def _stage(self, body: bytes, receive: Receive, send: Send) -> None:
        facts = await self._read(body, OfferFacts, send)
        if facts is not None:
            await self._reply(send, OK, self._core.stage(facts))

    async def _abandon(self, body: bytes, receive: Receive, send: Send) -> None:
        message = await self._read(body, AbandonMessage, send)
        if message is None:
            return
        answer = self._runner.answers.get(message.request_id)
        same = message.incarnation == self._core.incarnation
        alone = answer is not None and len(answer.readers) <= 1
        if same and alone:
            self._runner.abandon(message.request_id)
        await send_reply(send, status=OK, headers=[], body=b"")

    async def _claim(self, body: bytes, receive: Receive, send: Send) -> None:
        claim = await self._read(body, Claim, send)
        if claim is None:
            return
        clock = self._node.clock
        granted = self._home.claim(
            claim, now_ms=clock.now_ms(), wall_ms=clock.wall_ms()
        )
        if isinstance(granted, Ok):
            answer = ClaimAnswer(grant=granted.ok_value, reason=None)
        else:
            answer = ClaimAnswer(grant=None, reason=granted.err_value)
        self._runner.metrics.claims.labels(answer.reason or "granted").inc()
        await self._reply(send, OK, answer)

    async def _threshold(self, body: bytes, receive: Receive, send: Send) -> None:
        update = await self._read(body, ThresholdUpdate, send)
        if update is None:
            return
        now_ms = self._node.clock.now_ms()
        self._runner.carry_out(self._core.raise_threshold(update, now_ms=now_ms))
        await self._reply(send, OK, self._report())

    async def _sync(self, body: bytes, receive: Receive, send: Send) -> None:
        content = self._node.answer_sync(body)
        if content is None:
            await self._bad(send, "not a comparison")
            return
        await send_reply(send, status=OK, headers=[], body=content)

    # Replies

    async def _read(
        self, body: bytes, kind: type[MessageT], send: Send
    ) -> MessageT | None:
        """Return the message in `body`, or answer that it is not one."""
        message = decode(body, kind)
        if isinstance(message, Ok):
            return message.ok_value
        await self._bad(send, message.err_value)
        return None

    async def _bad(self, send: Send, reason: str) -> None:
        content = {"code": Reason.BAD_REQUEST, "message": reason}
        await send_json(send, status=BAD_REQUEST, content=content)

    async def _refuse(self, send: Send, reason: Reason, retry_after_ms: int) -> None:
        message = RefusalMessage(
            reason=reason,
            retry_after_ms=retry_after_ms,
            tombstoned=reason not in NO_TOMBSTONE,
        )
        await self._reply(send, wire.STATUS_REFUSED, message)

    async def _reply(self, send: Send, status: int, message: object) -> None:
        headers: Headers = [
            (b"content-type", wire.CONTENT_TYPE.encode()),
            self._report_header(),
        ]
        await send_reply(send, status=status, headers=headers, body=encode(message))

    def _report_header(self) -> tuple[bytes, bytes]:
        return wire.REPORT_HEADER.encode(), encode_report(self._report())

    def _report(self) -> Report:
        now_ms = self._node.clock.now_ms()
        return self._core.report(now_ms=now_ms, **self._heights())


def _gone(reason: Reason) -> RefusalMessage:
    """Say that a dispatched request has no answer to send, and why."""
    return RefusalMessage(reason=reason, retry_after_ms=0, tombstoned=False)


async def _watch_reader(receive: Receive, scope: trio.CancelScope) -> None:
    """Cancel `scope` when the reader closes its connection."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
