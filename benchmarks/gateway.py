"""Benchmarks of a gateway: decisions, digests, updates and memory."""

import itertools
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from pistachiohaven.components.exchange import (
    Digest,
    Exchange,
    Member,
    QueueReport,
    TargetReport,
    Update,
    decode_datagram,
    encode_datagram,
    short_hash,
)
from pistachiohaven.components.fleet import Organisation, Pool, Target
from pistachiohaven.components.measure._table import Table
from pistachiohaven.components.placement import Job, Scheduler
from pistachiohaven.components.quota import QuotaLedger

POOL = Pool(
    name="p", is_engine=True, connection_limit=400, cache_tokens=600_000, event_tokens=6
)


def make_job(number: int) -> Job:
    """Return a request of typical size."""
    return Job(
        request_id=f"{number:016x}",
        pool="p",
        organisation=f"org-{number % 340}",
        rank=number % 4,
        prompt_tokens=2_000,
        shared_tokens=60,
        output_tokens=300,
        session_part=f"part-{number}",
        arrived_ms=0,
        first_byte_due_ms=400,
        wait_limit_ms=3_200,
        deadline_ms=12_000,
    )


def make_scheduler(targets: int) -> Scheduler:
    """Return a scheduler with `targets` idle targets."""
    scheduler = Scheduler()
    scheduler.configure({"p": POOL})
    for number in range(targets):
        scheduler.put_target(
            Target(
                name=f"i-{number:010x}",
                pool="p",
                address="10.0.0.1:80",
                data_centre="z",
                slots=12,
                leaving=False,
                started_ms=1,
            )
        )
    return scheduler


def make_digest(targets: int, organisations: int) -> Digest:
    """Return a full digest of a busy gateway."""
    return Digest(
        sender=Member(name="frontend-east-a-17", address="10.1.0.25:7600"),
        control_address="10.1.0.25:7615",
        incarnation="01a23dbb-0243-79b3-9a0d-000000000001",
        sequence=123_456,
        uptime_ms=86_400_000,
        leaving=False,
        revision=1_234_567,
        members=(),
        running=tuple(
            TargetReport(
                target=short_hash(f"i-{number}"),
                running=3,
                prefill_tokens=4_000,
                token_us=3_400,
                prefill_tokens_per_s=61_000,
            )
            for number in range(targets)
        ),
        waiting=tuple(
            QueueReport(pool=short_hash("p"), rank=rank, count=9) for rank in range(4)
        ),
        used_tokens={
            short_hash(f"org-{number}"): 10_000_000 for number in range(organisations)
        },
    )


def make_update(targets: int, changed: int) -> Update:
    """Return an update of a busy gateway; `changed` organisations used tokens."""
    full_digest = make_digest(targets, changed)
    return Update(
        sender=short_hash(full_digest.incarnation),
        sequence=full_digest.sequence,
        leaving=False,
        revision=full_digest.revision,
        targets=short_hash("targets"),
        running=bytes([3] * targets),
        prefill=bytes([16] * targets),
        waiting=full_digest.waiting,
        used_tokens=full_digest.used_tokens,
    )


def mean_us(action: Callable[[], object], repeat_count: int) -> float:
    """Return the mean processor time of one `action` in microseconds."""
    started_s = time.process_time()
    for _ in range(repeat_count):
        action()
    return (time.process_time() - started_s) * 1e6 / repeat_count


def time_placement(targets: int) -> float:
    """Return the time to submit, place and end one request, in microseconds."""
    scheduler = make_scheduler(targets)
    numbers = iter(range(10**9))

    def place() -> None:
        job = make_job(next(numbers))
        scheduler.submit(job, now_ms=0)
        for decision in scheduler.schedule(now_ms=0):
            load = scheduler.load(decision.target)  # type: ignore[union-attr]
            assert load is not None
            load.record_completed(job.request_id, events=0, tokens=0, now_ms=1)

    return mean_us(place, 300)


def time_full_queue(targets: int, waiting: int) -> float:
    """Return the time of one pass over a queue without free slots, in microseconds."""
    scheduler = make_scheduler(targets)
    for number in range(targets * 12):
        scheduler.submit(make_job(number), now_ms=0)
    scheduler.schedule(now_ms=0)
    for number in range(waiting):
        scheduler.submit(make_job(10**6 + number), now_ms=0)
    return mean_us(lambda: scheduler.schedule(now_ms=100), 50)


def measure_target_bytes() -> float:
    """Return the memory of one idle target of the scheduler, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    scheduler = make_scheduler(1_000)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(scheduler.loads())


def make_ledger() -> QuotaLedger:
    """Return a ledger of 340 organisations."""
    ledger = QuotaLedger()
    organisations = tuple(
        Organisation(
            name=f"org-{number}",
            keys=frozenset({f"key-{number}"}),
            rank=None,
            tokens_per_s=10_000.0,
            burst_tokens=10_000.0,
            default_tokens=200,
        )
        for number in range(340)
    )
    ledger.configure(organisations, now_ms=0)
    return ledger


def time_peer_usage() -> float:
    """Return the time to apply a peer's use by 340 organisations, in microseconds."""
    ledger = make_ledger()
    used = make_digest(0, 340).used_tokens
    times_ms = itertools.count(100, 100)

    def apply() -> None:
        now_ms = next(times_ms)
        growing = {name: tokens + now_ms for name, tokens in used.items()}
        ledger.apply_peer_usage("peer", growing, uptime_ms=now_ms, now_ms=now_ms)

    return mean_us(apply, 200)


def time_charge(peers: int) -> float:
    """Return the time to charge one request with `peers` peers, in microseconds."""
    ledger = make_ledger()
    for number in range(peers):
        ledger.apply_peer_usage(f"peer-{number}", {}, uptime_ms=1, now_ms=10_000)
    return mean_us(lambda: ledger.charge("org-0", 1, now_ms=10_100), 500)


def measure_account_bytes() -> float:
    """Return the memory of one organisation's account, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    ledger = make_ledger()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert ledger.remaining_tokens("org-0", now_ms=0) is not None
    return (after - before) / 340


def main() -> None:
    """Run all benchmarks of the gateway and print their table."""
    table = Table(title="gateway", columns=("what", "figure"))
    for targets, organisations in ((6, 5), (24, 20), (24, 340)):
        data = encode_datagram(make_digest(targets, organisations))
        name = f"digest of {targets} targets, {organisations} organisations"
        table.add(name, f"{len(data)} bytes")
        table.add(name, f"{mean_us(lambda d=data: decode_datagram(d), 500):.0f} us")
    digest = make_digest(24, 340)
    history = msgspec.structs.replace(digest, window_tokens=digest.used_tokens)
    name = "digest of 24 targets, 340 organisations, with history"
    table.add(name, f"{len(encode_datagram(history))} bytes")
    for targets, changed in ((6, 5), (23, 8)):
        data = encode_datagram(make_update(targets, changed))
        name = f"update of {targets} targets, {changed} organisations changed"
        table.add(name, f"{len(data)} bytes")
        table.add(name, f"{mean_us(lambda d=data: decode_datagram(d), 500):.0f} us")
    exchange = Exchange(self_address="0:0", seeds=(), rng=random.Random(1))
    digest = make_digest(24, 20)
    handling_us = mean_us(lambda: exchange.handle_digest(digest, now_ms=1), 500)
    table.add("take a digest", f"{handling_us:.1f} us")
    table.add("take a peer's use, 340 organisations", f"{time_peer_usage():.0f} us")
    for peers in (3, 22, 379):
        table.add(f"charge with {peers} peers", f"{time_charge(peers):.0f} us")
    table.add("account of one organisation", f"{measure_account_bytes():.0f} bytes")
    for targets in (6, 24, 100, 1_000):
        table.add(f"place among {targets}", f"{time_placement(targets):.0f} us")
    for targets, waiting in ((6, 50), (24, 50), (24, 200)):
        name = f"look at {waiting} waiting, {targets} full targets"
        table.add(name, f"{time_full_queue(targets, waiting):.0f} us")
    table.add("one known target", f"{measure_target_bytes():.0f} bytes")
    print(table.text())


if __name__ == "__main__":
    main()
