"""Start of each kind of process from its settings file."""

import sys
from functools import partial

import trio

from pistachiohaven.config import (
    EntrySettings,
    GatewaySettings,
    SidecarSettings,
    load,
)
from pistachiohaven.helpers import log_bounded, log_to


def start_entry(path: str) -> None:
    """Run an entry with the settings file `path` until it has drained."""
    from pistachiohaven.components.entry._daemon import run_entry  # noqa: PLC0415

    settings = load(path, EntrySettings)
    log_to()
    trio.run(run_entry, settings)


def start_gateway(path: str) -> None:
    """Run a gateway with the settings file `path` until it has drained."""
    from pistachiohaven.components.gateway import run_gateway  # noqa: PLC0415
    from pistachiohaven.components.gateway.const import (  # noqa: PLC0415
        LOG_BUFFER_LINES,
    )

    settings = load(path, GatewaySettings)
    log_lines = log_bounded(sys.stdout.fileno(), max_lines=LOG_BUFFER_LINES)
    trio.run(partial(run_gateway, settings, path=path, log_lines=log_lines))


def start_sidecar(path: str) -> None:
    """Run a sidecar with the settings file `path` until it has drained."""
    from pistachiohaven.components.sidecar._daemon import run_sidecar  # noqa: PLC0415

    settings = load(path, SidecarSettings)
    log_to()
    trio.run(run_sidecar, settings)


def start_stand_in(kind: str, path: str) -> None:
    """Run a stand-in of `kind` with the settings file `path` until it is killed."""
    from pistachiohaven.components.stand_in import runner  # noqa: PLC0415

    runner.run(kind, path)
