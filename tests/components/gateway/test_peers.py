"""Test that gateways know of each other's work, over loopback datagrams."""

import socket
from collections.abc import Awaitable, Callable

import trio

from pistachiohaven.components.exchange import Update, encode_datagram
from pistachiohaven.components.fleet import Organisation, Pool, Target
from pistachiohaven.components.gateway._peers import PeerLink
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.placement import Job
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

POOL = Pool(
    name="p", engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)
ORGANISATION = Organisation(
    name="org",
    keys=frozenset(),
    rank=None,
    tokens_per_s=1_000.0,
    burst_tokens=100_000.0,
    default_tokens=10,
)


class Node:
    """Hold what one gateway knows, without its callers and its store."""

    def __init__(self, *, name: str, host: str, port: int = 0) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.host = host
        self.port = self.socket.getsockname()[1]
        self.name = name
        self.state: GatewayState | None = None

    def start(self, seeds: tuple[str, ...]) -> PeerLink:
        """Let the gateway know `seeds` and two targets."""
        settings = GatewaySettings(
            name=self.name,
            data_centre="z",
            listen=f"{self.host}:1",
            listen_readiness=f"{self.host}:2",
            internal_ports=(self.port, 3),
            store="127.0.0.1:4",
            seeds=seeds,
        )
        self.state = GatewayState(settings=settings, clock=Clock())
        self.state.scheduler.configure({"p": POOL})
        for name in ("i-0", "i-1"):
            self.add_target(name)
        self.state.quota.configure((ORGANISATION,), now_ms=self.now_ms)
        return PeerLink(state=self.state, sock=self.socket)

    @property
    def known(self) -> GatewayState:
        assert self.state is not None
        return self.state

    @property
    def now_ms(self) -> int:
        return self.known.clock.now_ms()

    def add_target(self, name: str) -> None:
        target = Target(
            name=name,
            pool="p",
            address="10.0.0.1:80",
            data_centre="z",
            slots=4,
            leaving=False,
            started_ms=1,
        )
        self.known.scheduler.put_target(target)

    def send(self, request_id: str, target: str) -> None:
        """Let a request of 1,000 prompt tokens run on `target`."""
        now_ms = self.now_ms
        job = Job(
            request_id=request_id,
            pool="p",
            organisation="org",
            rank=0,
            prompt_tokens=1_000,
            shared_tokens=0,
            output_tokens=10,
            part="",
            arrived_ms=now_ms,
            due_ms=now_ms + 400,
            patience_ms=now_ms + 2_000,
            deadline_ms=now_ms + 12_000,
        )
        load = self.known.scheduler.load(target)
        assert load is not None
        load.sent(job, now_ms=now_ms)
        self.known.quota.charge("org", 1_000, now_ms=now_ms)

    def running(self, target: str) -> int:
        load = self.known.scheduler.load(target)
        assert load is not None
        return load.running(now_ms=self.now_ms)


async def until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.01)


def play(test: Callable[[Node, Node], Awaitable[None]]) -> None:
    """Run `test` with two gateways of which the second knows the first."""

    async def run() -> None:
        one = Node(name="a", host="127.0.0.1")
        two = Node(name="b", host="127.0.0.2", port=one.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.start(()).run)
            nursery.start_soon(two.start((f"{one.host}:{one.port}",)).run)
            await test(one, two)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_requests_that_start_and_end_are_told_by_updates() -> None:
    async def test(one: Node, two: Node) -> None:
        one.send("r-1", "i-0")
        await until(lambda: two.running("i-0") == 1)
        one.send("r-2", "i-1")
        await until(lambda: two.running("i-1") == 1)
        load = one.known.scheduler.load("i-1")
        assert load is not None
        load.left("r-2")
        await until(lambda: two.running("i-1") == 0)
        left = one.known.quota.left("org")
        assert left is not None
        await until(lambda: (two.known.quota.left("org") or 0) <= left + 50)

    play(test)


def test_lists_of_targets_that_differ_are_not_mixed_up() -> None:
    async def test(one: Node, two: Node) -> None:
        two.add_target("i-00")
        one.send("r-1", "i-1")
        await until(lambda: two.running("i-1") == 1)
        one.send("r-2", "i-0")
        await trio.sleep(0.5)
        assert (two.running("i-00"), two.running("i-1")) == (0, 1)

    play(test)


def test_a_peer_that_was_forgotten_is_asked_for_its_whole_state() -> None:
    async def test(one: Node, two: Node) -> None:
        one.send("r-1", "i-0")
        await until(lambda: two.known.quota.knows(one.known.incarnation))
        two.known.quota.drop_peer(one.known.incarnation)
        await until(lambda: two.known.quota.knows(one.known.incarnation))

    play(test)


def stranger_update(number: int) -> bytes:
    update = Update(
        sender=number,
        sequence=1,
        leaving=False,
        revision=0,
        targets=0,
        running=b"",
        prefill=b"",
        waiting=(),
        used_tokens={},
    )
    return encode_datagram(update)


def test_updates_of_many_unknown_senders_do_no_harm() -> None:
    """They come while questions to others are on their way."""

    async def test(one: Node, two: Node) -> None:
        strangers = []
        for number in range(400):
            stranger = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            await stranger.bind(("127.0.0.3", 0))
            strangers.append(stranger)
            await stranger.sendto(stranger_update(number), (two.host, two.port))
            await trio.sleep(0.001)
        for stranger in strangers:
            stranger.close()
        one.send("r-1", "i-0")
        await until(lambda: two.running("i-0") == 1)

    play(test)
