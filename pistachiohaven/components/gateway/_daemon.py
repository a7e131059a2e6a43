"""Process of a gateway: sockets, background tasks and signals."""

import signal
import socket
from dataclasses import dataclass, replace

import trio

from pistachiohaven.components.web import Listener, Server, ServerOptions, listen
from pistachiohaven.config import GatewaySettings, load
from pistachiohaven.const import MS_PER_S
from pistachiohaven.exceptions import SettingsError
from pistachiohaven.helpers import BoundedLog, Clock

from ._app import GatewayApp
from ._connections import ConnectionPool
from ._peers import PeerLink
from ._state import GatewayState
from ._store_watch import StoreWatcher
from .const import (
    DRAIN_ACCEPT_MS,
    DRAIN_MARGIN_MS,
    DRAIN_RESPONSE_MS,
    LOG_FLUSH_INTERVAL_MS,
    SCHEDULER_TICK_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _BoundSockets:
    """Open sockets of a gateway, and its settings with the actual port numbers."""

    settings: GatewaySettings
    listeners: list[Listener]
    exchange_socket: socket.socket


def _bind(settings: GatewaySettings) -> _BoundSockets:
    """Open the sockets of all addresses in `settings`."""
    callers = listen(settings.listen)
    readiness = listen(settings.listen_readiness)
    control = listen(settings.control_address)
    exchange_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    exchange_socket.bind((settings.host, settings.internal_ports[0]))
    internal_ports = (
        exchange_socket.getsockname()[1],
        int(control.address.rpartition(":")[2]),
    )
    bound_settings = settings.model_copy(
        update={
            "listen": callers.address,
            "listen_readiness": readiness.address,
            "internal_ports": internal_ports,
        }
    )
    return _BoundSockets(
        settings=bound_settings,
        listeners=[callers, readiness, control],
        exchange_socket=exchange_socket,
    )


async def run_gateway(
    settings: GatewaySettings,
    *,
    path: str = "",
    log_lines: BoundedLog | None = None,
    clock: Clock | None = None,
    task_status: trio.TaskStatus[GatewaySettings] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until a stop signal arrives and the gateway has drained.

    `path` is the settings file, which is read again on SIGHUP. `log_lines` is the
    buffer of the log, which is flushed periodically. `task_status` reports the settings
    with the actual port numbers.
    """
    clock = clock or Clock()
    bound = _bind(settings)
    state = GatewayState(settings=bound.settings, clock=clock)
    pool = ConnectionPool(clock=clock)
    app = GatewayApp(state=state, pool=pool, log_lines=log_lines)
    server = Server(listeners=bound.listeners, options=_server_options(state))
    state.log.info(
        "started", name=settings.name, incarnation=state.incarnation, path=path
    )
    stop_event = trio.Event()
    async with trio.open_nursery() as nursery:
        store_watcher = StoreWatcher(state=state)
        nursery.start_soon(store_watcher.run)
        nursery.start_soon(store_watcher.poll_peers)
        nursery.start_soon(PeerLink(state=state, sock=bound.exchange_socket).run)
        nursery.start_soon(state.placer.run)
        nursery.start_soon(state.stall_monitor.run)
        nursery.start_soon(_apply_limits, state, server, pool)
        nursery.start_soon(_stop_on_signal, state, app, server, stop_event)
        nursery.start_soon(_reload_on_signal, state, path)
        if log_lines is not None:
            nursery.start_soon(_flush_logs, log_lines)
        task_status.started(bound.settings)
        await server.serve(app, stop_event)
        nursery.cancel_scope.cancel()
    state.log.info("stopped", in_flight=app.in_flight)
    if log_lines is not None:
        log_lines.flush()


async def _stop_on_signal(
    state: GatewayState, app: GatewayApp, server: Server, stop_event: trio.Event
) -> None:
    """Drain on SIGTERM or SIGINT.

    The gateway becomes unready at once, so that the load balancer removes it, and
    stops accepting requests after `DRAIN_ACCEPT_MS`.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            # A process that stood still handles the signal late, right after the turn
            # of the event loop with which it goes on. So it came after the one before.
            now_ms = state.clock.now_ms()
            since_ms = state.placer.turn_before_ms
            grace_ms = int(state.settings.stop_grace_s * MS_PER_S)
            end_ms = since_ms + grace_ms - DRAIN_MARGIN_MS
            state.start_draining(since_ms=since_ms, end_ms=end_ms - DRAIN_RESPONSE_MS)
            state.log.info(
                "leaving",
                signal=signal_number,
                in_flight=app.in_flight,
                late_ms=now_ms - since_ms,
            )
            break
        accept_ms = max(since_ms + DRAIN_ACCEPT_MS - state.clock.now_ms(), 0)
        await trio.sleep(accept_ms / MS_PER_S)
        server.set_options(_server_options(state))
        stop_event.set()
        await trio.sleep_forever()


async def _reload_on_signal(state: GatewayState, path: str) -> None:
    """Reload the settings file on SIGHUP; new addresses take effect on a restart."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                settings = load(path, GatewaySettings)
            except SettingsError as error:
                state.log.info("settings_rejected", error=str(error))
                continue
            changed_fields = [
                name
                for name in GatewaySettings.model_fields
                if getattr(settings, name) != getattr(state.settings, name)
            ]
            state.reload(settings)
            state.log.info("settings_reloaded", changed=changed_fields)


def _server_options(state: GatewayState) -> ServerOptions:
    """Return the configured connection limits, and the time that is left to stop."""
    if state.drain_end_ms is None:
        grace_s = state.settings.stop_grace_s
        grace_s -= (DRAIN_ACCEPT_MS + DRAIN_MARGIN_MS) / MS_PER_S
    else:
        exit_ms = state.drain_end_ms + DRAIN_RESPONSE_MS
        grace_s = (exit_ms - state.clock.now_ms()) / MS_PER_S
    options = ServerOptions(grace_s=max(grace_s, 0.0))
    if state.route_table is None:
        return options
    limits = state.route_table.config.limits
    return replace(
        options,
        keep_alive_s=limits.idle_timeout_ms / MS_PER_S,
        max_header_bytes=limits.max_header_bytes,
    )


async def _apply_limits(
    state: GatewayState, server: Server, pool: ConnectionPool
) -> None:
    """Apply the configured connection limits periodically.

    Also remove targets that have not registered again, end the time of cold ones, and
    close idle connections to removed targets.
    """
    while True:
        server.set_options(_server_options(state))
        state.expire_targets()
        state.expire_evacuations()
        state.expire_cold_targets()
        while state.removed_addresses:
            await pool.close_idle(state.removed_addresses.pop())
        await trio.sleep(SCHEDULER_TICK_MS * 5 / MS_PER_S)


async def _flush_logs(log_lines: BoundedLog) -> None:
    """Write buffered log lines periodically."""
    while True:
        log_lines.flush()
        await trio.sleep(LOG_FLUSH_INTERVAL_MS / MS_PER_S)
