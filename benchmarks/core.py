"""Benchmarks of the time of the core's decisions and the memory of its state."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable

from pistachiohaven.components.admission import AdmissionController
from pistachiohaven.components.dispatch import Claim, DispatchRecord, KeyOwner
from pistachiohaven.components.gossip import Gossip, SyncRequest
from pistachiohaven.components.measure._spread import make_fleet_tree
from pistachiohaven.components.measure._table import Table
from pistachiohaven.components.membership import ListRead, ListVersion, Membership
from pistachiohaven.components.peer import decode, encode
from pistachiohaven.components.routing import Router
from pistachiohaven.components.routing._view import TargetView
from pistachiohaven.components.settings import SettingsStore, make_delta
from pistachiohaven.components.sidecar import SidecarCore
from pistachiohaven.core import Instance, Reason, Work
from pistachiohaven.helpers import make_uuid7

WALL_MS = 1_800_000_000_000
FLEET_SIZE = 6_380
"""Listed instances at the design size: 380 entries and 6,000 sidecars."""


def make_work(number: int) -> Work:
    """Return a small request."""
    return Work(
        request_id=f"01a23dbb-0243-79b3-9a0d-{number:012x}",
        organisation=f"org-{number % 340}",
        rank=number % 4,
        weight=1.0,
        pool="draft",
        prefill_tokens=200,
        decode_tokens=100,
        idempotent=True,
        max_queue_ms=60_000,
        prefix=f"p{number % 50}",
    )


def make_instances(count: int) -> tuple[Instance, ...]:
    """Return `count` sidecar instances of one pool."""
    return tuple(
        Instance(
            name=f"sidecar-{number}",
            role="sidecar",
            data_centre=f"dc-{number % 5}",
            region="west",
            address=f"10.0.{number // 250}.{number % 250}:7000",
            pools=("draft",),
        )
        for number in range(count)
    )


def make_membership(count: int) -> Membership:
    """Return a membership list of `count` sidecars."""
    version = ListVersion(
        version=1, published_ms=WALL_MS, changed=make_instances(count)
    )
    membership = Membership()
    membership.apply_read(
        ListRead(versions=(version,), as_of_ms=WALL_MS + 120_000, snapshot=True)
    )
    return membership


def measure_us(action: Callable[[int], object], repeat_count: int) -> float:
    """Return the processor time of one `action` in microseconds, the least of 3 rounds.

    `action` receives the number of its call within the round.
    """
    round_us = []
    for _round in range(3):
        started_s = time.process_time()
        for number in range(repeat_count):
            action(number)
        round_us.append((time.process_time() - started_s) / repeat_count * 1e6)
    return min(round_us)


def measure_bytes_each(make: Callable[[int], object], count: int) -> float:
    """Return the mean memory in bytes of one object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    objects = [make(number) for number in range(count)]
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size_bytes / len(objects)


def time_decisions(table: Table) -> None:
    """Time the choice of a target among different numbers of targets."""
    for target_count in (10, 24, 100, 1_000):
        membership = make_membership(target_count)
        router = Router(entry="e", rng=random.Random(1), subset_size=target_count)
        router.rebuild(membership, ["draft"])
        for instance in make_instances(target_count):
            sidecar = SidecarCore(name=instance.name, incarnation="i")
            sidecar.lifecycle.serve()
            router.apply_report(sidecar.report(now_ms=0), measured_ms=0)

        def decide(number: int, router: Router = router) -> None:
            work = make_work(number)
            view = router.pick(work, now_ms=1)
            assert view is not None
            if number % 50 == 0:
                view.apply_report(view.report, measured_ms=2)  # type: ignore[arg-type]

        table.add(
            f"choose a target of {target_count}, us", f"{measure_us(decide, 500):.0f}"
        )


def time_admission(table: Table) -> None:
    """Time the admission, dispatch and end of a request in the sidecar's core."""
    core = SidecarCore(name="s", incarnation="s#1")
    core.lifecycle.serve()
    from pistachiohaven.components.peer import OfferFacts  # noqa: PLC0415

    def serve(_number: int) -> None:
        serve.count += 1  # type: ignore[attr-defined]
        work = make_work(serve.count)  # type: ignore[attr-defined]
        facts = OfferFacts(work=work, attempt=1, incarnation="s#1", stamp_ms=WALL_MS)
        core.offer(facts, now_ms=0, wall_ms=WALL_MS)
        core.handle_first_byte(work.request_id, now_ms=0)
        core.handle_end(work.request_id, tokens=100, cut_reason=None, now_ms=1)

    serve.count = 0  # type: ignore[attr-defined]
    table.add("admit, run and end a request, us", f"{measure_us(serve, 2_000):.0f}")


def time_settings(table: Table) -> None:
    """Time the settings operations on a tree of 340 organisations."""
    old, new = make_fleet_tree(1), make_fleet_tree(2)
    store = SettingsStore()
    store.accept_tree(old)
    paths = [path for path in old.nodes if path]

    def resolve(number: int) -> None:
        store.leaf(paths[number % len(paths)])

    resolve_us = measure_us(lambda _n: [resolve(n) for n in range(len(paths))], 1)
    table.add(
        "resolve each of 1360 leaves, us a leaf", f"{resolve_us / len(paths):.1f}"
    )
    delta = make_delta(old, new)

    def run_delta_edit(_number: int) -> None:
        new_store = SettingsStore()
        new_store.accept_tree(old)
        new_store.accept_delta(delta)

    def run_tree_edit(_number: int) -> None:
        SettingsStore().accept_tree(old)

    # Both runs apply the tree, so that the difference is the time of the delta.
    cost_us = measure_us(run_delta_edit, 20) - measure_us(run_tree_edit, 20)
    table.add("take in one edit by delta, us", f"{cost_us:.0f}")
    table.add("bytes of one edit as a delta", len(encode(delta)))


def time_spread(table: Table) -> None:
    """Time one sync with a peer and the choice of peers."""
    membership = make_membership(FLEET_SIZE)

    def make_node(name: str) -> Gossip:
        store = SettingsStore()
        store.accept_tree(make_fleet_tree(1))
        return Gossip(
            name=name,
            data_centre="dc-1",
            settings=store,
            membership=membership,
            rng=random.Random(1),
        )

    syncing_node, peer_node = make_node("sidecar-1"), make_node("sidecar-2")

    def compare(_number: int) -> None:
        sync = decode(
            encode(SyncRequest(known=syncing_node.node_versions())), SyncRequest
        ).unwrap()
        update = peer_node.handle_sync(sync)
        syncing_node.handle_update(decode(encode(update), type(update)).unwrap())

    table.add("compare with a peer, both sides, us", f"{measure_us(compare, 500):.0f}")
    choice_us = measure_us(lambda _n: syncing_node.choose_peers(4), 500)
    table.add(f"choose 4 peers of {FLEET_SIZE}, us", f"{choice_us:.0f}")


def time_key_owner_lookup(table: Table) -> None:
    """Time the lookup of a key's owner, and the application of a complete list."""
    membership = make_membership(FLEET_SIZE)
    rng = random.Random(1)

    def find(_number: int) -> None:
        key = make_uuid7(wall_ms=WALL_MS + 70_000, rng=rng)
        membership.owner_of(key=key, stamp_ms=WALL_MS + 70_000).unwrap()

    table.add(f"find a key's home of {FLEET_SIZE}, us", f"{measure_us(find, 500):.0f}")
    started_s = time.process_time()
    make_membership(FLEET_SIZE)
    cost_ms = (time.process_time() - started_s) * 1e3
    table.add(f"take in a list of {FLEET_SIZE}, ms", f"{cost_ms:.0f}")


def measure_memory(table: Table) -> None:
    """Measure the memory of one object of each kind of state."""
    rng = random.Random(1)
    keys = [make_uuid7(wall_ms=WALL_MS + 90_000, rng=rng) for _n in range(3_000)]
    key_owner = KeyOwner(name="h", incarnation="h1", started_wall_ms=WALL_MS)

    def claim(number: int) -> object:
        new_claim = Claim(
            organisation=f"org-{number % 340}",
            key=keys[number],
            request_id=f"r{number}",
            fingerprint=f"{number:032x}",
            sidecar="sidecar-1",
            incarnation="i",
        )
        return key_owner.claim(new_claim, now_ms=0, wall_ms=WALL_MS + 90_000)

    table.add(
        "remembered key at its home, bytes", f"{measure_bytes_each(claim, 3_000):.0f}"
    )
    record = DispatchRecord()

    def add_tombstone(number: int) -> None:
        record.refuse(
            dispatch_id=f"org/{keys[number]}",
            request_id=keys[number],
            attempt=1,
            keyed=True,
            reason=Reason.OVERLOAD,
            now_ms=0,
        )

    table.add(
        "remembered request, bytes", f"{measure_bytes_each(add_tombstone, 3_000):.0f}"
    )
    admission = AdmissionController()
    admission.offer(make_work(0), now_ms=0)

    def queue(number: int) -> object:
        return admission.offer(make_work(number + 1), now_ms=0)

    table.add("queued request, bytes", f"{measure_bytes_each(queue, 200):.0f}")
    instances = make_instances(2_000)
    view_bytes = measure_bytes_each(lambda n: TargetView(instance=instances[n]), 2_000)
    table.add("known target of an entry, bytes", f"{view_bytes:.0f}")
    instance_bytes = (
        measure_bytes_each(lambda _n: make_membership(FLEET_SIZE), 1) / FLEET_SIZE
    )
    table.add("listed instance, bytes", f"{instance_bytes:.0f}")
    # The tree has 1,360 leaves and the root.
    node_bytes = measure_bytes_each(lambda _n: make_fleet_tree(1), 1) / 1_361
    table.add("node of the settings tree, bytes", f"{node_bytes:.0f}")


def run(parts: Iterable[Callable[[Table], None]]) -> Table:
    """Run each part and return the table with the rows of all."""
    table = Table(title="core", columns=("what", "figure"))
    for part in parts:
        part(table)
    return table


def main() -> None:
    """Run all benchmarks of the core and print their table."""
    parts = (
        time_decisions,
        time_admission,
        time_settings,
        time_spread,
        time_key_owner_lookup,
        measure_memory,
    )
    print(run(parts).text())


if __name__ == "__main__":
    main()
