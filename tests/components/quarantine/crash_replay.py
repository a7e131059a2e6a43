"""Replay of crashes at many gateways, in virtual time and without a network."""

import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

from pistachiohaven.components.evacuation import Evacuations
from pistachiohaven.components.exchange import (
    PartCrashes,
    decode_datagram,
    short_hash,
)
from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.gateway._crashes import CrashLink
from pistachiohaven.components.gateway._metrics import GatewayMetrics
from pistachiohaven.components.notice import TargetNotices
from pistachiohaven.components.placement import TargetLoad
from pistachiohaven.components.quarantine import CrashQuarantine
from pistachiohaven.components.rate_limit import RateLimits
from pistachiohaven.helpers import Clock, Ewma

STEP_MS = 50
PROOF_AFTER_MS = 1_500
"""Time until a response under load has gone on for long enough to be a proof."""

DOWN_MS = 3_000
COLD_MS = 3_000
COLD_PER_S = 14
FIRST_PARTS = ("a", "b", "c")
RARE_PARTS = 40
POISON = short_hash("poison")
POOL = Pool(
    name="p",
    is_engine=True,
    connection_limit=500,
    cache_tokens=0,
    event_tokens=1,
    cold_start_ms=COLD_MS,
    cold_requests_per_s=COLD_PER_S,
)


@dataclass(kw_only=True, eq=False)
class Engine:
    """One incarnation of a target, cold until `cold_until_ms`."""

    target: Target
    load: TargetLoad
    cold_until_ms: int
    arrivals: deque[int] = field(default_factory=deque)
    requests: list[tuple[int, "Gateway", tuple[int, ...]]] = field(default_factory=list)


class Gateway:
    """Quarantine of one gateway, and its exchange with the others."""

    def __init__(self, replay: "Replay", name: str) -> None:
        self._replay = replay
        self.name = name
        self.sent = 0
        self.quarantine = CrashQuarantine()
        self.link = CrashLink(
            quarantine=self.quarantine,
            exchange=self,  # type: ignore[arg-type]
            clock=replay.clock,
            log=self,  # type: ignore[arg-type]
            metrics=GatewayMetrics(),
            count_targets=lambda _: len(replay.engines),
        )
        self.link.connect(self._send)
        for engine in replay.engines:
            self.link.record_target(engine.target)

    def info(self, event: str, **fields: Any) -> None:
        """Note the parts in quarantine, as the log does."""
        if event == "part_quarantined":
            self._replay.quarantined.add(int(fields["key"], 16))

    def peers_in_order(self, _key: str, *, now_ms: int) -> list[str]:
        peers = [each.name for each in self._replay.gateways if each is not self]
        return self._replay.rng.sample(peers, len(peers))

    def record_extra_bytes(self, _size: int) -> None:
        return

    def _send(self, data: bytes, address: str) -> None:
        self.sent += 1
        message = decode_datagram(data).ok_value
        assert isinstance(message, PartCrashes)
        if self._replay.rng.random() >= self._replay.loss_share:
            peer = self._replay.gateways[int(address)]
            peer.link.apply(message.reports, peer=self.name, reply_address=self.name)


class Replay:
    """Gateways, two data centres of 18 targets each, and requests."""

    def __init__(self, *, seed: int, gateways: int, loss_share: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss_share = loss_share
        self.now_ms = 1_000_000
        self.clock = Clock(
            monotonic_s=lambda: self.now_ms / 1_000,
            wall_s=lambda: self.now_ms / 1_000,
        )
        self.quarantined: set[int] = set()
        self.refused = 0
        self.crashes = 0
        self.poison_crashes = 0
        self.poison_every_ms = 0
        self.is_poison_anywhere = False
        self.poison_first_part: int | None = None
        self.per_s = 360
        self.engines: list[Engine] = []
        self._down: list[tuple[int, Target]] = []
        self.gateways: list[Gateway] = []
        for number in range(36):
            self._start(
                Target(
                    name=str(number),
                    pool=POOL.name,
                    address="",
                    data_centre="one" if number < 18 else "two",
                    slots=20,
                    leaving=False,
                    started_ms=0,
                ),
                cold_ms=0,
            )
        self.gateways = [Gateway(self, str(number)) for number in range(gateways)]

    def _start(self, target: Target, *, cold_ms: int = COLD_MS) -> None:
        load = TargetLoad(
            target=target,
            is_engine=True,
            cache_tokens=0,
            pool_token_ms=Ewma(weight=0.1),
            rate_limits=RateLimits(name="0"),
            notices=TargetNotices(),
            evacuations=Evacuations(),
        )
        self.engines.append(
            Engine(target=target, load=load, cold_until_ms=self.now_ms + cold_ms)
        )
        for gateway in self.gateways:
            gateway.link.record_target(target)

    def crash(self, engine: Engine) -> None:
        """End a target; it starts again cold `DOWN_MS` later."""
        self.crashes += 1
        self.engines.remove(engine)
        self.return_later(engine.target)
        for at_ms, gateway, parts in engine.requests:
            if self.now_ms - at_ms < PROOF_AFTER_MS:
                gateway.link.record_crash(
                    parts, load=engine.load, pool=POOL, is_repeat=False
                )

    def return_later(self, target: Target) -> None:
        """Let a target start again `DOWN_MS` from now."""
        self._down.append((self.now_ms + DOWN_MS, target))

    def run(self, seconds: float) -> None:
        """Send requests for some time."""
        end_ms = self.now_ms + int(seconds * 1_000)
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for due_ms, target in list(self._down):
                if due_ms <= self.now_ms:
                    self._down.remove((due_ms, target))
                    self._start(replace(target, started_ms=self.now_ms))
            for _ in range(self.per_s * STEP_MS // 1_000):
                self._request()
            if self.poison_every_ms and self.now_ms % self.poison_every_ms == 0:
                self._request(is_poison=True)
            for engine in list(self.engines):
                self._serve(engine)
            for gateway in self.gateways:
                if self.rng.random() < 0.1:
                    self._exchange(gateway)

    def _exchange(self, gateway: Gateway) -> None:
        reports = gateway.link.reports(changed_only=True)
        for peer in self.rng.sample(self.gateways, 5) if reports else ():
            if self.rng.random() >= self.loss_share:
                peer.link.apply(reports, peer=gateway.name)

    def _request(self, *, is_poison: bool = False) -> None:
        gateway = self.rng.choice(self.gateways)
        parts = (
            (is_poison and self.poison_first_part)
            or short_hash(self.rng.choice(FIRST_PARTS)),
            POISON if is_poison else self.rng.randrange(RARE_PARTS),
        )
        if gateway.quarantine.find(parts, now_ms=self.now_ms) is not None:
            self.refused += not is_poison
            return
        engines = [
            each
            for each in self.engines
            if not is_poison
            or self.is_poison_anywhere
            or each.cold_until_ms + 1_000 < self.now_ms
        ]
        if not engines:
            return
        engine = self.rng.choice(engines)
        gateway.link.record_dispatch(parts, engine.load)
        engine.requests.append((self.now_ms, gateway, parts))
        engine.arrivals.append(self.now_ms)
        if is_poison:
            self.poison_crashes += 1
            self.crash(engine)

    def _serve(self, engine: Engine) -> None:
        """Crash a cold target that gets too many requests; finish old requests."""
        while engine.arrivals and engine.arrivals[0] < self.now_ms - 1_000:
            engine.arrivals.popleft()
        is_cold = self.now_ms < engine.cold_until_ms
        if is_cold and len(engine.arrivals) > COLD_PER_S:
            self.crash(engine)
            return
        for request in list(engine.requests):
            at_ms, gateway, parts = request
            if self.now_ms - at_ms >= PROOF_AFTER_MS:
                engine.requests.remove(request)
                gateway.link.record_proof(parts)
