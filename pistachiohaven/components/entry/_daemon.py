"""Process of one entry."""

from functools import partial

import trio

from pistachiohaven.components.lifecycle import Lifecycle
from pistachiohaven.components.node import Node, drain_on_signal
from pistachiohaven.components.routing import Router
from pistachiohaven.components.web import listen, serve
from pistachiohaven.config import EntrySettings
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock

from ._app import EntryApp
from .const import PROBE_INTERVAL_MS, PROBES_PER_INTERVAL


async def run_entry(settings: EntrySettings, *, clock: Clock | None = None) -> None:
    """Serve callers until the entry has drained."""
    listener = listen(settings.listen)
    async with trio.open_nursery() as nursery:
        node = Node(
            settings=settings, lifecycle=Lifecycle(), component="entry", clock=clock
        )
        router = Router(entry=settings.name, rng=node.rng)
        app = EntryApp(node=node, router=router)
        node.log.info("started", address=listener.address)
        nursery.start_soon(node.run)
        nursery.start_soon(
            partial(node.run_drain, app.in_flight, settings.balancer_lag_ms)
        )
        nursery.start_soon(_watch_changes, node, app)
        nursery.start_soon(_run_probes, node, router, app)
        nursery.start_soon(drain_on_signal, node)
        await serve(app, listener, node.stop)
        nursery.cancel_scope.cancel()


async def _watch_changes(node: Node, app: EntryApp) -> None:
    """Update the targets whenever the settings or the instance list change."""
    while True:
        change_event = node.change_event()
        app.rebuild_targets()
        await change_event.wait()


async def _run_probes(node: Node, router: Router, app: EntryApp) -> None:
    """Probe targets whose report is missing or outdated."""
    async with trio.open_nursery() as nursery:
        while True:
            now_ms = node.clock.now_ms()
            for view in router.probes_due(now_ms=now_ms, count=PROBES_PER_INTERVAL):
                nursery.start_soon(app.probe, view)
            await trio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
