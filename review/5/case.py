"""Servers are taken away while the store cuts watches that wait."""

import asyncio

from stand_ins.case import Case, run_case
from stand_ins.client import new_attempt_id, send
from stand_ins.server import Server

DRAIN_S = 2.0
STABLE_S = 3.0
CUT_AFTER_S = 0.8
REMOVAL_GAP_S = 1.2
SERVES_ON_S = 6.0
DEADLINE_MS = 1_500
CLIENTS = 6
PAUSE_S = 0.05
LEAVING = ("a", "b", "c", "d")
STAYING = ("e", "f")
ROUTE = {
    "name": "status",
    "host": "review.example",
    "prefix": "/status/",
    "kind": "non_idempotent",
    "timeoutMs": DEADLINE_MS,
    "targetLatencyMs": 125,
    "priority": 0,
    "service": "portal",
    "attempts": 1,
    "public": True,
}
CONFIG = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "portal", "connectionLimit": 110}],
    "limits": {"idleTimeoutMs": 15_000},
    "tenants": [],
}


async def call_until(case: Case, number: int, end: asyncio.Event) -> None:
    """Send one request after the other, through the gateways in turn."""
    count = number
    while not end.is_set():
        gateway = case.gateways[count % len(case.gateways)]
        count += 1
        attempt = new_attempt_id()
        case.record("sent", attempt=attempt, gateway=gateway.host)
        answer = await send(
            gateway.address,
            path=f"/status/{number}",
            deadline_ms=DEADLINE_MS,
            attempt=attempt,
        )
        case.record("answered", attempt=attempt, status=answer.status)
        await asyncio.sleep(PAUSE_S)


async def take_away(case: Case, server: Server, removed: dict[str, float]) -> None:
    """Remove the entry of a server, which serves on for some time and then ends."""
    removed[server.name] = case.store.delete(server.key)
    case.record("removed", server=server.name)
    await asyncio.sleep(SERVES_ON_S)
    server.end()
    case.record("ended", server=server.name)


async def play(case: Case) -> list[str]:
    """Take four of six servers away, one after the other."""
    for name in (*LEAVING, *STAYING):
        case.register(await case.add_server(name, "portal", slots=6))
    case.store.put("op/config", CONFIG)
    await case.start_gateways()
    await asyncio.sleep(STABLE_S)
    end = asyncio.Event()
    clients = [
        asyncio.create_task(call_until(case, number, end)) for number in range(CLIENTS)
    ]
    if case.has_trouble:
        case.store.cut_after_s = CUT_AFTER_S
    await asyncio.sleep(STABLE_S)
    removed: dict[str, float] = {}
    leaving = []
    for name in LEAVING:
        leaving.append(
            asyncio.create_task(take_away(case, case.servers[name], removed))
        )
        await asyncio.sleep(REMOVAL_GAP_S)
    await asyncio.gather(*leaving)
    end.set()
    await asyncio.gather(*clients)
    case.record("watches_cut", count=case.store.cuts)
    broken = []
    for name, removed_at in removed.items():
        late = [at - removed_at for at in case.servers[name].run_at_s]
        late = [age for age in late if age > DRAIN_S]
        case.record(
            "late", server=name, requests=len(late), last_s=max(late, default=0)
        )
        if late:
            broken.append(
                f"DRAIN: {len(late)} requests reached {name} later than {DRAIN_S} s "
                f"after its removal, the last one {max(late):.2f} s after it"
            )
    return broken


if __name__ == "__main__":
    run_case(play, file=__file__, gateways=2)
