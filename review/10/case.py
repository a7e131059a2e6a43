"""Connections to the store that go silent, just before a worker is removed."""

import asyncio
import sys
import time
from pathlib import Path

from fleet import Fleet, Record, call_headers, make_config, run_case
from http_text import encode, read_body, read_head

WORKERS = 3
CLIENTS_EACH = 8
SETTLE_S = 5.0
DRAIN_S = 2.0
STABLE_S = 3.0
MARGIN_S = 0.05
SERVES_ON_S = 8.0
GAP_S = 0.02
LEAVING = "i-0"


async def client(
    record: Record, address: tuple[str, int], number: int, end_s: float
) -> list[tuple[str, float]]:
    """Send requests one after the other; return their ids and when they were sent."""
    sent = []
    reader, writer = await asyncio.open_connection(*address)
    while time.monotonic() < end_s:
        attempt_id = f"{number:04x}{len(sent):012x}"
        sent.append((attempt_id, time.monotonic()))
        record.add("sent", id=attempt_id, gateway=address[0])
        writer.write(
            encode("POST /repeat/x HTTP/1.1", call_headers(attempt_id), b"body")
        )
        answer = await read_head(reader)
        if answer is None:
            record.add("no answer", id=attempt_id)
            reader, writer = await asyncio.open_connection(*address)
            continue
        await read_body(reader, answer)
        stamp = answer.headers.get("pistachiohaven-server-stamp")
        record.add("answered", id=attempt_id, status=answer.status, stamp=stamp)
        await asyncio.sleep(GAP_S)
    writer.close()
    return sent


async def case(record: Record, has_trouble: bool) -> bool:
    """Return True if a worker that has left got a request too late."""
    async with Fleet(gateways=2) as fleet:
        fleet.store.put("op/config", make_config(4, {"repeat": "portal"}))
        logs = {}
        entries = {}
        for number in range(WORKERS):
            name = f"i-{number}"
            logs[name] = fleet.folder / f"{name}.log"
            options = ["--pieces", "1", "--gap_ms", "150", "--log", str(logs[name])]
            address, _ = await fleet.start_worker("--id", name, *options)
            entries[name] = {
                "service": "portal",
                "address": address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": 1_700_000_000_000,
            }
            fleet.store.put(f"servers/{name}", entries[name])
        await fleet.start_gateways()
        await asyncio.sleep(SETTLE_S)
        end_s = time.monotonic() + 1.0 + SERVES_ON_S
        tasks = [
            asyncio.create_task(
                client(record, (gateway.host, gateway.port), number, end_s)
            )
            for number, gateway in enumerate(fleet.gateways * CLIENTS_EACH)
        ]
        await asyncio.sleep(1.0)
        silent_s = time.monotonic()
        if has_trouble:
            fleet.store.silence()
            record.add("connections to the store go silent")
        await asyncio.sleep(MARGIN_S)
        fleet.store.delete(f"servers/{LEAVING}")
        removed_s = time.monotonic()
        record.add("removed", worker=LEAVING)
        sent = {
            attempt_id: at_s
            for each in await asyncio.gather(*tasks)
            for attempt_id, at_s in each
        }
        bound_s = max(silent_s + STABLE_S, removed_s + DRAIN_S) + MARGIN_S
        late = []
        last_s = removed_s
        for line in logs[LEAVING].read_text(encoding="utf-8").splitlines():
            at_s, event, attempt_id = line.split(" ")
            record.add("worker", name=LEAVING, line=line)
            if event == "runs":
                last_s = float(at_s)
                if last_s > bound_s and sent[attempt_id] > bound_s:
                    late.append(attempt_id)
        record.add("last request", after_removal_s=f"{last_s - removed_s:.3f}")
        record.add("later than the bound", requests=len(late))
        return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
