"""Exchange of freed slots between gateways."""

from collections.abc import Callable

from pistachiohaven.components.exchange import (
    Exchange,
    QueueHint,
    SlotOffer,
    SlotReply,
    encode_datagram,
    short_hash,
)
from pistachiohaven.components.exchange.const import INTERVAL_MS
from pistachiohaven.components.handover import HandoverCore, Outgoing
from pistachiohaven.components.placement import Placement
from pistachiohaven.helpers import Clock

from ._metrics import GatewayMetrics
from ._placer import Placer


class HandoverLink:
    """Sender and receiver of the messages that hand over slots."""

    def __init__(
        self,
        *,
        name: str,
        placer: Placer,
        exchange: Exchange,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._core = HandoverCore[Placement](name=name, user=placer.scheduler)
        self._placer = placer
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._send: Callable[[bytes, str], None] | None = None
        self._last_run_ms = clock.now_ms()

    def connect(self, send: Callable[[bytes, str], None]) -> None:
        """Set the function that sends a datagram to an address without waiting."""
        self._send = send
        self._placer.on_scheduled = self.send_offers

    def record_run(self) -> None:
        """Record that this process runs; call this at least each `INTERVAL_MS`."""
        self._last_run_ms = self._clock.now_ms()

    def send_offers(self) -> None:
        """Send the offers and hints that follow from the last run of the scheduler."""
        outgoing = self._core.collect(now_ms=self._clock.now_ms())
        self._send_all(outgoing)
        offers = sum(isinstance(each.message, SlotOffer) for each in outgoing)
        self._metrics.slots_offered.inc(offers)

    def handle(self, message: SlotOffer | SlotReply | QueueHint) -> None:
        """Handle a message of a peer.

        Offers that were read after this process had stood still may be too old.
        """
        now_ms = self._clock.now_ms()
        if (
            isinstance(message, SlotOffer)
            and now_ms - self._last_run_ms > INTERVAL_MS + message.valid_ms
        ):
            self._metrics.slots_received.labels("expired").inc()
            return
        result = self._core.handle(message, now_ms=now_ms)
        if result.outcome:
            self._metrics.slots_received.labels(result.outcome).inc()
        self._placer.apply(result.placements)
        self._send_all(result.outgoing)
        if isinstance(message, SlotReply):
            self._placer.schedule_waiting()

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        """Send messages to the peers whose addresses are known."""
        if self._send is None:
            return
        sent_bytes = 0
        for each in outgoing:
            peer = self._exchange.find_by_hash(short_hash(each.peer))
            if peer is None:
                continue
            datagram = encode_datagram(each.message)
            self._send(datagram, peer.member.address)
            sent_bytes += len(datagram)
        self._exchange.record_extra_bytes(sent_bytes)
