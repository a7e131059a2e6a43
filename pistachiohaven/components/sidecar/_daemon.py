"""Startup of a sidecar process."""

from functools import partial

import trio

from pistachiohaven.components.dispatch import KeyOwner
from pistachiohaven.components.node import Node, drain_on_signal
from pistachiohaven.components.target import make_target
from pistachiohaven.components.web import listen, serve
from pistachiohaven.config import SidecarSettings
from pistachiohaven.helpers import Clock

from ._app import SidecarApp
from ._core import SidecarCore
from ._runner import EffectRunner


async def run_sidecar(settings: SidecarSettings, *, clock: Clock | None = None) -> None:
    """Run the sidecar of one target until it is signalled to stop and drained."""
    node_clock = clock or Clock()
    listener = listen(settings.listen)
    async with trio.open_nursery() as nursery:
        core = SidecarCore(name=settings.name, incarnation="")
        node = Node(
            settings=settings,
            lifecycle=core.lifecycle,
            component="sidecar",
            clock=node_clock,
        )
        core.incarnation = node.incarnation
        runner = EffectRunner(
            core=core,
            target=make_target(kind=settings.kind, address=settings.target),
            pool=node.pool,
            clock=node_clock,
            log=node.log,
            nursery=nursery,
        )
        key_owner = KeyOwner(
            name=settings.name,
            incarnation=node.incarnation,
            started_wall_ms=node_clock.wall_ms(),
        )
        app = SidecarApp(core=core, key_owner=key_owner, runner=runner, node=node)
        node.log.info("started", address=listener.address, target=settings.target)
        nursery.start_soon(node.run)
        nursery.start_soon(partial(node.run_drain, core.admission.in_flight_count))
        nursery.start_soon(runner.run_timer)
        nursery.start_soon(drain_on_signal, node)
        await serve(app, listener, node.stop)
        nursery.cancel_scope.cancel()
