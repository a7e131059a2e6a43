"""Carry out the actions of one request against sidecars and homes."""

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
    ClaimAnswer,
    OfferFacts,
    OfferMessage,
    Report,
    ResumeMessage,
    StageAnswer,
    decode,
    decode_report,
    encode,
)
from pistachiohaven.components.peer import const as wire
from pistachiohaven.components.routing import Router
from pistachiohaven.components.routing.const import THRESHOLD_MS
from pistachiohaven.components.web import CallError, call
from pistachiohaven.const import MS_PER_S
from pistachiohaven.core import Instance, Reason

from ._intake import Intake
from ._metrics import EntryMetrics
from ._replies import claim_event, declined
from ._reply import CallerReply
from ._request import RequestCore
from ._steps import (
    ClaimLost,
    ClaimRefused,
    Event,
    NotSent,
    Polled,
    SendClaim,
    SendOffer,
    SendPoll,
    SendResume,
    SendWithdraw,
    Silent,
    Staged,
    TimeUp,
    Whole,
)
from .const import (
    CONNECT_TIMEOUT_MS,
    CONTROL_TIMEOUT_MS,
    LOOK_TIMEOUT_MS,
    RECOVERY_MS,
    RECOVERY_PAUSE_MS,
    SILENCE_MS,
)

AnswerT = TypeVar("AnswerT")

_TIMEOUTS = {"connect": CONNECT_TIMEOUT_MS / MS_PER_S}


@dataclass(slots=True, kw_only=True)
class Wait:
    """Say how the wait for the first byte ended, if not by the byte itself."""

    scope: trio.CancelScope
    time_up: bool = False


class Exchange:
    """Perform the actions of one request; every action yields one event."""

    def __init__(
        self,
        *,
        core: RequestCore,
        intake: Intake,
        reply: CallerReply,
        node: Node,
        router: Router,
        metrics: EntryMetrics,
    ) -> None:
        self._core = core
        self._intake = intake
        self._reply = reply
        self._node = node
        self._router = router
        self._metrics = metrics
        self._offered: SendOffer | None = None
        self._offered_address = ""
        self._started_ms = node.clock.now_ms()
        self.first_byte_ms: int | None = None
        self.offers = 0

    @singledispatchmethod
    async def perform(self, action: object) -> Event:
        """Carry out `action` and return what was learnt."""
        raise TypeError(f"no such action: {action!r}")

    # Claims

    @perform.register
    async def _(self, action: SendClaim) -> Event:
        key = self._intake.key
        assert key is not None
        home = self._home(key)
        if isinstance(home, Err):
            return ClaimRefused(reason=home.err_value)
        body = encode(self._claim(action, key))
        deadline_ms = self._node.clock.now_ms() + RECOVERY_MS
        while self._node.clock.now_ms() < deadline_ms:
            answer = await self._ask(
                home.ok_value.address, wire.CLAIM_PATH, body, ClaimAnswer
            )
            if isinstance(answer, Ok):
                return claim_event(answer.ok_value)
            await trio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        return ClaimLost()

    def _home(self, key: Key) -> Result[Instance, Reason]:
        """Return the home of `key`."""
        if isinstance(key, Ticket):
            named = self._node.membership.instance(key.home)
            return Err(Reason.HOME_UNREACHABLE) if named is None else Ok(named)
        if self._intake.leaf.plain_keys != "home":
            return Err(Reason.HOME_NOT_PROVEN)
        slot = f"{self._intake.work.organisation}/{key.text}"
        return self._node.membership.home_of(key=slot, stamp_ms=key.stamp_ms)

    def _claim(self, action: SendClaim, key: Key) -> Claim:
        body = self._intake.body + self._intake.path.encode()
        return Claim(
            organisation=self._intake.work.organisation,
            key=key.text,
            request_id=self._intake.work.request_id,
            fingerprint=xxhash.xxh3_128_hexdigest(body),
            sidecar=action.sidecar,
            incarnation=action.incarnation,
            released_attempt=action.released_attempt,
            release=action.release,
        )

    # Offers and what follows them

    @perform.register
    async def _(self, action: SendOffer) -> Event:
        address = self._address(action.sidecar)
        if address is None:
            return NotSent()
        self._offered = action
        self._offered_address = address
        self.offers += 1
        message = OfferMessage(
            facts=self._facts(action.attempt, action.incarnation),
            path=self._intake.path,
            content_type=self._intake.content_type,
            body=self._intake.body,
        )
        return await self._answer(address, wire.OFFER_PATH, encode(message))

    @perform.register
    async def _(self, action: SendResume) -> Event:
        address = self._address(action.sidecar)
        if address is None:
            return Silent()
        self._metrics.resumes.inc()
        message = ResumeMessage(
            request_id=action.request_id,
            incarnation=action.incarnation,
            offset_bytes=self._reply.offset_bytes,
        )
        event = await self._answer(address, wire.RESUME_PATH, encode(message))
        return self._silent() if isinstance(event, NotSent) else event

    @perform.register
    async def _(self, action: SendWithdraw) -> Event:
        address = self._address(action.sidecar)
        body = encode(self._facts(action.attempt, action.incarnation))
        deadline_ms = self._node.clock.now_ms() + RECOVERY_MS
        while address is not None and self._node.clock.now_ms() < deadline_ms:
            answer = await self._ask(address, wire.WITHDRAW_PATH, body, StageAnswer)
            if isinstance(answer, Ok):
                return Staged(answer=answer.ok_value)
            await trio.sleep(RECOVERY_PAUSE_MS / MS_PER_S)
        return Staged(answer=None)

    @perform.register
    async def _(self, action: SendPoll) -> Event:
        update = ThresholdUpdate(rank=self._intake.work.rank, left_ms=THRESHOLD_MS)
        body = encode(update)
        with trio.move_on_after(LOOK_TIMEOUT_MS / MS_PER_S):
            async with trio.open_nursery() as nursery:
                for sidecar in action.sidecars:
                    nursery.start_soon(self._poll, sidecar, body)
        return Polled()

    async def _poll(self, sidecar: str, body: bytes) -> None:
        address = self._address(sidecar)
        if address is not None:
            await self._ask(address, wire.THRESHOLD_PATH, body, Report)

    async def abandon(self) -> None:
        """Tell the sidecar that the caller left."""
        if self._offered is None:
            return
        address = self._address(self._offered.sidecar)
        if address is None:
            return
        message = AbandonMessage(
            request_id=self._intake.work.request_id,
            incarnation=self._offered.incarnation,
        )
        await call(
            self._node.pool,
            address=address,
            path=wire.ABANDON_PATH,
            body=encode(message),
            timeout_ms=CONTROL_TIMEOUT_MS,
        )

    # One streamed call

    async def _answer(self, address: str, path: str, body: bytes) -> Event:
        """Send `body` and pass on the answer that streams back."""
        event: Event | None = None
        wait = Wait(scope=trio.CancelScope())
        try:
            async with trio.open_nursery() as nursery:
                wait.scope = nursery.cancel_scope
                nursery.start_soon(self._watch_silence, address, wait)
                event = await self._stream(address, path, body, nursery.cancel_scope)
                nursery.cancel_scope.cancel()
        except* (httpcore.ConnectError, httpcore.ConnectTimeout):
            event = NotSent()
        except* (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ):
            event = self._silent()
        if event is None:
            return TimeUp() if wait.time_up else self._silent()
        return event

    def _silent(self) -> Silent:
        return Silent(began=self.first_byte_ms is not None)

    async def _stream(
        self, address: str, path: str, body: bytes, watch: trio.CancelScope
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
            extensions={"timeout": _TIMEOUTS},
        ) as response:
            found = {name.lower(): value for name, value in response.headers}
            self._take_report(found)
            if response.status != wire.STATUS_DISPATCHED:
                return declined(response.status, await response.aread())
            self._reply.head(
                status=int(found.get(wire.TARGET_STATUS_HEADER.encode(), b"200")),
                content_type=found.get(b"content-type", b"application/json"),
            )
            async for chunk in response.aiter_stream():
                self._note_first_byte()
                await self._reply.chunk(chunk)
        return Whole()

    def _note_first_byte(self) -> None:
        if self.first_byte_ms is not None:
            return
        self.first_byte_ms = self._node.clock.now_ms()
        if self._offered is None:
            return
        view = self._router.view(self._offered.sidecar)
        if view is not None:
            view.answered(
                waited_ms=self.first_byte_ms - self._started_ms,
                prompt_tokens=self._intake.work.prefill_tokens,
            )

    async def _watch_silence(self, address: str, wait: Wait) -> None:
        """End a wait for bytes that the sidecar does not know of, or that is too long.

        A sidecar that is asked and says that the request waits or runs is waited for.
        """
        deadline_ms = self._started_ms + self._intake.leaf.deadline_ms
        offered = self._offered
        while offered is not None:
            seen_bytes = self._reply.offset_bytes
            left_ms = deadline_ms - self._node.clock.now_ms()
            if self.first_byte_ms is None and left_ms <= 0:
                wait.time_up = True
                wait.scope.cancel()
                return
            first = self.first_byte_ms is None
            pause_ms = min(SILENCE_MS, left_ms) if first else SILENCE_MS
            await trio.sleep(pause_ms / MS_PER_S)
            if self._reply.offset_bytes != seen_bytes:
                continue
            body = encode(self._facts(offered.attempt, offered.incarnation))
            answer = await self._ask(address, wire.STAGE_PATH, body, StageAnswer)
            if isinstance(answer, Err):
                wait.scope.cancel()

    # Small steps

    async def _ask(
        self, address: str, path: str, body: bytes, kind: type[AnswerT]
    ) -> Result[AnswerT, CallError]:
        """Send one control message and read its answer."""
        self._node.control_bytes += len(body)
        reply = await call(
            self._node.pool,
            address=address,
            path=path,
            body=body,
            timeout_ms=CONTROL_TIMEOUT_MS,
        )
        if isinstance(reply, Err):
            return reply
        self._take_report(reply.ok_value.headers)
        message = decode(reply.ok_value.body, kind)
        return message if isinstance(message, Ok) else Err(CallError.BROKEN)

    def _take_report(self, headers: dict[bytes, bytes]) -> None:
        value = headers.get(wire.REPORT_HEADER.encode())
        report = None if value is None else decode_report(value)
        if report is not None:
            now_ms = self._node.clock.now_ms()
            self._router.take_report(report, measured_ms=now_ms)

    def _facts(self, attempt: int, incarnation: str) -> OfferFacts:
        return OfferFacts(
            work=self._core.work_left(now_ms=self._node.clock.now_ms()),
            attempt=attempt,
            incarnation=incarnation,
            stamp_ms=self._intake.received_wall_ms,
            threshold=self._router.threshold(self._intake.work.pool).update(
                now_ms=self._node.clock.now_ms()
            ),
        )

    def _address(self, sidecar: str) -> str | None:
        """Return the address of a sidecar; of the last one offered, as it was then.

        An instance that has left the list may still hold the request.
        """
        if self._offered is not None and self._offered.sidecar == sidecar:
            return self._offered_address
        view = self._router.view(sidecar)
        if view is not None:
            return view.instance.address
        listed = self._node.membership.instance(sidecar)
        return None if listed is None else listed.address
