"""Test the exchange of streams' origins between gateways, in virtual time."""

import random
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from pistachiohaven.components.exchange import (
    Datagram,
    Digest,
    Exchange,
    Member,
    OriginQuery,
    StreamBegun,
    decode_datagram,
)
from pistachiohaven.components.exchange.const import START_PHASE_MS
from pistachiohaven.components.gateway._confirmation import ListConfirmation
from pistachiohaven.components.gateway._origins import OriginLink
from pistachiohaven.components.gateway.const import (
    LIST_CONFIRM_TIMEOUT_MS,
    MAX_ASKED_PEERS,
    ORIGIN_COPIES,
    ORIGIN_QUERIES,
    ORIGIN_REPLY_TIMEOUT_MS,
)
from pistachiohaven.components.origin import StreamOrigins
from pistachiohaven.helpers import Clock

LONG_AGO_S = 1_000.0


class Node:
    """Origins and link of one gateway."""

    def __init__(
        self,
        network: "Network",
        address: str,
        *,
        seeds: tuple[str, ...] | None = None,
        is_starting: bool = False,
    ) -> None:
        self.address = address
        self.is_up = True
        self.is_store_reachable = True
        self.complete_until_ms = 0
        self.joins: list[str] = []
        self.reads = 0
        self.clock = Clock(monotonic_s=trio.current_time, wall_s=trio.current_time)
        self.origins = StreamOrigins()
        self.exchange = Exchange(
            self_address=address,
            seeds=seeds or tuple(each for each in network.addresses if each != address),
            rng=random.Random(1),
        )
        confirmation = ListConfirmation(certain_until_ms=lambda: self.complete_until_ms)
        confirmation.connect(self._read_changes)
        self.link = OriginLink(
            origins=self.origins,
            exchange=self.exchange,
            clock=self.clock,
            confirmation=confirmation,
            list_age_ms=lambda: self.clock.now_ms() - self.complete_until_ms,
        )
        if not is_starting:
            self.exchange.select_recipients(now_ms=self.clock.now_ms())
        self.link.connect(lambda data, to: network.send(address, data, to))

    async def _read_changes(self) -> None:
        """Read from the store which versions have joined since the last read."""
        self.reads += 1
        if not self.is_store_reachable:
            await trio.sleep_forever()
        now_ms = self.clock.now_ms()
        for version in self.joins:
            self.origins.history.put(
                f"i-{version}", pool="p", version=version, now_ms=now_ms
            )
        self.complete_until_ms = now_ms

    def list_targets(self, *versions: str) -> None:
        """Record a full list of targets, as read from the store now."""
        now_ms = self.clock.now_ms()
        self.complete_until_ms = now_ms
        self.origins.history.restart(now_ms=now_ms)
        for number, version in enumerate(versions):
            self.origins.history.put(
                f"i-{number}", pool="p", version=version, now_ms=now_ms
            )

    def hear_from(self, address: str, *, now_ms: int, is_leaving: bool = False) -> None:
        """Receive a digest of the gateway at `address`."""
        digest = Digest(
            sender=Member(name="", address=address),
            control_address="",
            incarnation=address,
            sequence=now_ms,
            uptime_ms=0,
            leaving=is_leaving,
            revision=0,
            members=(),
            running=(),
            waiting=(),
            used_tokens={},
        )
        self.exchange.handle_digest(digest, now_ms=now_ms)


class Network:
    """Gateways whose datagrams arrive at once; the first `lost` of them do not."""

    def __init__(self, count: int) -> None:
        self.addresses = [f"10.0.0.{number}:3" for number in range(count)]
        self.nodes = {address: Node(self, address) for address in self.addresses}
        self.sent: list[tuple[Datagram, str]] = []
        self.lost = 0

    def send(self, sender: str, data: bytes, address: str) -> None:
        message = decode_datagram(data).unwrap()
        self.sent.append((message, address))
        receiver = self.nodes[address]
        if self.lost:
            self.lost -= 1
        elif receiver.is_up:
            receiver.link.handle(message, sender)


def run(test: Callable[[Network], Awaitable[None]], *, count: int = 3) -> None:
    async def run_test() -> None:
        network = Network(count)
        await trio.sleep(START_PHASE_MS / 1_000)
        await test(network)

    trio.run(run_test, clock=trio.testing.MockClock(autojump_threshold=0))


async def find(node: Node, attempt_id: str | None = "77aa") -> str | None:
    origin = await node.link.find(attempt_id, pool="p", at_ms=node.clock.now_ms())
    return None if origin is None else origin.version


def test_gateway_that_knows_only_one_version_asks_nobody() -> None:
    async def test(network: Network) -> None:
        node = network.nodes[network.addresses[0]]
        node.list_targets("v1", "v1")
        await trio.sleep(LONG_AGO_S)
        assert await find(node) == "v1"
        assert network.sent == []

    run(test)


def test_gateway_whose_list_may_be_stale_asks() -> None:
    """A version that it does not know may have begun the stream at another one."""

    async def test(network: Network) -> None:
        node, peer, _ = network.nodes.values()
        node.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        node.is_store_reachable = False
        peer.link.record("77aa", pool="p", version="v1.1")
        assert await find(node) == "v1.1"

    run(test)


def test_origin_is_told_to_a_few_peers_and_found_at_the_others() -> None:
    async def test(network: Network) -> None:
        first, *others = network.nodes.values()
        for node in network.nodes.values():
            node.list_targets("v1", "v1.1")
        first.link.record("77aa", pool="p", version="v1")
        told = [to for message, to in network.sent if isinstance(message, StreamBegun)]
        assert len(told) == ORIGIN_COPIES
        first.is_up = False
        assert [await find(node) for node in others] == ["v1"] * len(others)

    run(test, count=10)


def test_lost_query_is_sent_again() -> None:
    async def test(network: Network) -> None:
        node, peer = network.nodes.values()
        peer.link.record("77aa", pool="p", version="v1")
        node.origins = StreamOrigins()
        node.link._origins = node.origins
        network.lost = 1
        started_s = trio.current_time()
        assert await find(node) == "v1"
        assert round((trio.current_time() - started_s) * 1_000) == (
            ORIGIN_REPLY_TIMEOUT_MS
        )

    run(test, count=2)


def test_origin_that_no_peer_knows_is_unknown_at_once() -> None:
    async def test(network: Network) -> None:
        for node in network.nodes.values():
            node.list_targets("v1")
        started_s = trio.current_time()
        assert await find(network.nodes[network.addresses[0]]) is None
        assert trio.current_time() == started_s

    run(test)


def test_starting_gateway_also_asks_peers_that_it_learns_of_meanwhile() -> None:
    """Shortly after its start, a gateway may know its seeds only."""

    async def test(network: Network) -> None:
        first, second, _ = network.nodes.values()
        first.link.record("77aa", pool="p", version="v1")
        starting = Node(
            network, "10.0.0.9:3", seeds=(second.address,), is_starting=True
        )
        network.nodes[starting.address] = starting
        second.origins = second.link._origins = StreamOrigins()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hear_later, starting, first.address)
            assert await find(starting) == "v1"

    async def _hear_later(node: Node, address: str) -> None:
        await trio.sleep(0.05)
        node.hear_from(address, now_ms=node.clock.now_ms())

    run(test)


def test_peers_that_do_not_reply_are_not_waited_for_long() -> None:
    async def test(network: Network) -> None:
        node, *others = network.nodes.values()
        for other in others:
            other.is_up = False
        started_s = trio.current_time()
        assert await find(node) is None
        waited_ms = (trio.current_time() - started_s) * 1_000
        assert round(waited_ms) == ORIGIN_QUERIES * ORIGIN_REPLY_TIMEOUT_MS

    run(test)


def test_starting_gateway_learns_from_a_peer_that_one_version_served() -> None:
    async def test(network: Network) -> None:
        node, peer = network.nodes.values()
        peer.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        node.list_targets("v1")
        peer.complete_until_ms = node.clock.now_ms()
        assert await find(node) == "v1"

    run(test, count=2)


def test_peer_whose_list_ends_before_that_of_a_starting_gateway_is_not_believed() -> (
    None
):
    """Another version may have come and gone between both lists."""

    async def test(network: Network) -> None:
        node, peer = network.nodes.values()
        peer.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        peer.complete_until_ms = node.clock.now_ms()
        await trio.sleep(0.5)
        node.list_targets("v1")
        assert await find(node) is None

    run(test, count=2)


def test_version_that_has_just_joined_is_looked_up_before_one_is_taken_for_all() -> (
    None
):
    """The stream may have begun at it, through another gateway."""

    async def test(network: Network) -> None:
        node, _ = network.nodes.values()
        node.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        node.complete_until_ms = node.clock.now_ms()
        await trio.sleep(0.1)
        node.joins = ["v1.1"]
        assert await find(node) is None
        assert await find(node, None) is None

    run(test, count=2)


@pytest.mark.parametrize("attempt_id", ["77aa", None])
def test_gateway_out_of_reach_of_the_store_takes_no_version_for_all(
    attempt_id: str | None,
) -> None:
    async def test(network: Network) -> None:
        node, _ = network.nodes.values()
        node.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        node.complete_until_ms = node.clock.now_ms()
        node.is_store_reachable = False
        await trio.sleep(0.1)
        started_s = trio.current_time()
        assert await find(node, attempt_id) is None
        waited_ms = (trio.current_time() - started_s) * 1_000
        assert round(waited_ms) <= LIST_CONFIRM_TIMEOUT_MS

    run(test, count=2)


def test_streams_that_are_taken_up_together_share_reads_of_the_store() -> None:
    async def test(network: Network) -> None:
        node = network.nodes[network.addresses[0]]
        node.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(find, node, f"{number:016x}")
        assert node.reads == 1

    run(test)


def test_peer_that_lacks_a_listed_version_is_not_believed() -> None:
    async def test(network: Network) -> None:
        node, peer = network.nodes.values()
        peer.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        node.list_targets("v1", "v1.1")
        assert await find(node) is None

    run(test, count=2)


def test_caller_that_names_no_attempt_is_bound_to_a_sole_version_only() -> None:
    async def test(network: Network) -> None:
        node, _ = network.nodes.values()
        node.list_targets("v1")
        await trio.sleep(LONG_AGO_S)
        assert (await find(node, None)) is not None
        node.list_targets("v1", "v1.1")
        assert (await find(node, None)) is None

    run(test, count=2)


def test_caller_that_names_no_attempt_goes_on_at_the_only_version_seen() -> None:
    async def test(network: Network) -> None:
        node, _ = network.nodes.values()
        node.list_targets("v1")
        assert await find(node, None) == "v1"
        assert not network.sent
        assert await find(node) is None
        node.origins.history.put("i-0", pool="p", version="v1.1", now_ms=1)
        assert await find(node, None) is None

    run(test, count=2)


def test_few_of_many_peers_are_asked_and_those_know() -> None:
    async def test(network: Network) -> None:
        first, second, *_ = network.nodes.values()
        for number in range(20):
            first.link.record(f"{number:016x}", pool="p", version="v1")
        first.is_up = False
        for number in range(20):
            network.sent.clear()
            assert await find(second, f"{number:016x}") == "v1"
            asked = [m for m, _ in network.sent if isinstance(m, OriginQuery)]
            assert len(asked) <= ORIGIN_QUERIES * MAX_ASKED_PEERS

    run(test, count=100)


def test_copies_go_to_peers_that_were_heard_of_lately() -> None:
    async def test(network: Network) -> None:
        node, *others = network.nodes.values()
        for other in others:
            node.hear_from(other.address, now_ms=node.clock.now_ms())
        await trio.sleep(60)
        live = others[: ORIGIN_COPIES - 1]
        for other in live:
            node.hear_from(other.address, now_ms=node.clock.now_ms())
        node.link.record("77aa", pool="p", version="v1")
        told = {to for _, to in network.sent}
        assert {other.address for other in live} < told

    run(test, count=12)


def test_copies_go_to_peers_that_are_not_leaving() -> None:
    async def test(network: Network) -> None:
        node, *others = network.nodes.values()
        for number, other in enumerate(others):
            node.hear_from(
                other.address,
                now_ms=node.clock.now_ms(),
                is_leaving=number >= ORIGIN_COPIES,
            )
        node.link.record("77aa", pool="p", version="v1")
        staying = {other.address for other in others[:ORIGIN_COPIES]}
        assert {to for _, to in network.sent} == staying

    run(test, count=12)
