"""Streams on a split route are taken up after the kill of one gateway."""

import asyncio

from stand_ins.case import Case, run_case
from stand_ins.client import Stream, read_stream

STABLE_S = 3.0
DEADLINE_MS = 15_000
CLIENTS = 36
ATTEMPTS = 3
TAKE_UP_DELAY_S = 0.5
BREAK_AFTER_S = 2.0
ROUTE = {
    "name": "draft",
    "host": "review.example",
    "prefix": "/stream-draft/",
    "kind": "streaming",
    "timeoutMs": DEADLINE_MS,
    "targetLatencyMs": 800,
    "priority": 0,
    "trafficSplit": [
        {"service": "model-a", "weight": 50},
        {"service": "model-b", "weight": 50},
    ],
    "attempts": 2,
    "public": True,
    "sessionAffinity": True,
    "streamResumption": True,
    "itlTargetMs": 400,
}
CONFIG = {
    "version": 3,
    "routes": [ROUTE],
    "services": [
        {"name": "model-a", "connectionLimit": 370},
        {"name": "model-b", "connectionLimit": 370},
    ],
    "limits": {"idleTimeoutMs": 15_000},
    "tenants": [],
}


async def play(case: Case) -> list[str]:
    """Kill one of three gateways while all read streams."""
    for name, service, version in (
        ("a", "model-a", "v1"),
        ("b", "model-a", "v1"),
        ("c", "model-b", "v2"),
        ("d", "model-b", "v2"),
    ):
        server = await case.add_server(name, service, version=version, gap_s=0.25)
        case.register(server)
    case.store.put("op/config", CONFIG)
    await case.start_gateways()
    await asyncio.sleep(STABLE_S)
    addresses = [gateway.address for gateway in case.gateways]
    streams: list[asyncio.Task[Stream]] = []
    for number in range(CLIENTS):
        first = number % len(addresses)
        task = asyncio.create_task(
            read_stream(
                f"client-{number}",
                addresses[first:] + addresses[:first],
                path=f"/stream-draft/{number}",
                deadline_ms=DEADLINE_MS,
                most_attempts=ATTEMPTS,
                take_up_delay_s=TAKE_UP_DELAY_S,
                record=case.record,
            )
        )
        streams.append(task)
    await asyncio.sleep(BREAK_AFTER_S)
    if case.has_trouble:
        case.gateways[0].kill()
        case.record("gateway_killed", gateway=case.gateways[0].host)
    results = await asyncio.gather(*streams)
    complete = sum(stream.is_complete for stream in results)
    case.record("streams", complete=complete, of=len(results))
    return [
        f"ORDER: the text of {stream.name} is joined from {' and '.join(sources)}"
        for stream in results
        if len(sources := sorted({data.split(" ")[0] for _, data in stream.pieces})) > 1
    ]


if __name__ == "__main__":
    run_case(play, file=__file__, gateways=3)
