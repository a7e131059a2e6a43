"""Connections to the store that go silent, just before a route is dropped."""

import asyncio
import sys
import time
from pathlib import Path

from fleet import Fleet, Record, call_headers, make_config, run_case
from http_text import encode, read_body, read_head

SETTLE_S = 5.0
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
WATCHED_S = 6.0
GAP_S = 0.02
MARGIN_S = 0.05
OK = 200


async def call(
    address: tuple[str, int], attempt_id: str, target: str, **extra: str
) -> int:
    """Send one request on a new connection; return the status, 0 without one."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        encode(f"POST {target} HTTP/1.1", call_headers(attempt_id, **extra), b"body")
    )
    answer = await read_head(reader)
    if answer is not None:
        await read_body(reader, answer)
    writer.close()
    return 0 if answer is None else answer.status


async def client(
    record: Record, address: tuple[str, int], number: int, end_s: float
) -> list[tuple[str, float, int]]:
    """Send requests on the dropped route; return ids, times of sending, statuses."""
    sent = []
    while time.monotonic() < end_s:
        attempt_id = f"{number:04x}{len(sent):012x}"
        at_s = time.monotonic()
        record.add("sent", id=attempt_id, gateway=address[0])
        status = await call(address, attempt_id, "/repeat/x")
        record.add("answered", id=attempt_id, status=status)
        sent.append((attempt_id, at_s, status))
        await asyncio.sleep(GAP_S)
    return sent


async def case(record: Record, has_trouble: bool) -> bool:
    """Return True if machines in touch run requests on a route dropped long before."""
    routes = {"repeat": "portal", "stream": "portal"}
    async with Fleet(gateways=2) as fleet:
        log = fleet.folder / "workers.log"
        fleet.store.put("op/config", make_config(4, routes))
        options = ["--pieces", "2", "--gap_ms", "10", "--log", str(log)]
        address, _ = await fleet.start_worker("--id", "i-0", *options)
        fleet.store.put(
            "servers/i-0",
            {
                "service": "portal",
                "address": address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": 1_700_000_000_000,
            },
        )
        await fleet.start_gateways()
        addresses = [(gateway.host, gateway.port) for gateway in fleet.gateways]
        await asyncio.sleep(SETTLE_S / 2)
        # A stream is taken up at each gateway, as clients may at any time.
        for number, each in enumerate(addresses):
            status = await call(
                each, f"f{number:015x}", "/stream/x", **{"Last-Event-Id": "1"}
            )
            record.add("stream taken up", gateway=each[0], status=status)
        await asyncio.sleep(SETTLE_S / 2)
        for version in (5, 6):
            fleet.store.put("op/config", make_config(version, routes))
            record.add("acknowledged", version=version)
            await asyncio.sleep(2 * MARGIN_S)
        if has_trouble:
            fleet.store.silence()
            record.add("connections to the store go silent")
        silent_s = time.monotonic()
        await asyncio.sleep(MARGIN_S)
        fleet.store.put("op/config", make_config(7, {"stream": "portal"}))
        dropped_s = time.monotonic()
        record.add("acknowledged", version=7, dropped="/repeat/")
        tasks = [
            asyncio.create_task(client(record, each, number, silent_s + WATCHED_S))
            for number, each in enumerate(addresses)
        ]
        sent = [one for each in await asyncio.gather(*tasks) for one in each]
        bound_s = max(silent_s + STABLE_S, dropped_s + CONFIG_APPLY_S) + MARGIN_S
        ran = log.read_text(encoding="utf-8")
        late = [
            (attempt_id, at_s)
            for attempt_id, at_s, status in sent
            if at_s > bound_s and status == OK and f"runs {attempt_id}" in ran
        ]
        last_s = max((at_s for _, at_s, status in sent if status == OK), default=0.0)
        record.add("last run", after_silence_s=f"{last_s - silent_s:.3f}")
        record.add("run later than the bound", requests=len(late))
        return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
