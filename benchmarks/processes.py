"""Benchmarks of whole processes: idle, per request and per streamed event."""

import os
import subprocess
import sys
import threading
import time
from pathlib import Path

import httpcore

from features.fleet import Fleet, request
from features.relay import HOST
from pistachiohaven.components.measure._table import Table

TREE = Path(__file__).parent.parent / "features" / "tree.yaml"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STREAM_COUNT = 16
EVENTS_PER_STREAM = 256
IN_FLIGHT_COUNTS = (8, 48)
SAMPLE_DELAY_S = 2.5
"""Time to about half of a stream, which sends 256 events at 20 ms each."""

CALL_COUNT = 300
IDLE_S = 10.0
IMPORT_CASES = (
    ("python", "pass"),
    ("trio, hypercorn, httpcore", "import trio, hypercorn.trio, httpcore"),
    ("an entry's imports", "import pistachiohaven.components.entry._daemon"),
    ("a sidecar's imports", "import pistachiohaven.components.sidecar._daemon"),
)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, 0 if it is unknown."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class CpuTimer:
    """Processor time that members of a fleet use from the timer's creation on."""

    def __init__(self, fleet: Fleet, names: tuple[str, ...]) -> None:
        self._pids = {name: fleet.members[name].process.pid for name in names}  # type: ignore[union-attr]
        self._before = {name: cpu_s(pid) for name, pid in self._pids.items()}

    def used_s(self) -> dict[str, float]:
        """Return the processor time used since the start in seconds, by member."""
        return {
            name: cpu_s(pid) - self._before[name] for name, pid in self._pids.items()
        }


def run_concurrently(count: int, action: object) -> None:
    """Call `action` with each number below `count`, in concurrent threads."""
    threads = [
        threading.Thread(target=action, args=(number,))  # type: ignore[arg-type]
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_imports(table: Table) -> None:
    """Measure the resident memory of a process after imports alone."""
    code = "; print([l for l in open('/proc/self/status') if 'VmRSS' in l][0])"
    for name, import_statement in IMPORT_CASES:
        completed = subprocess.run(
            [sys.executable, "-c", import_statement + code],
            capture_output=True,
            text=True,
            check=True,
        )
        size_mb = int(completed.stdout.split()[1]) / 1024
        table.add(f"resident after {name}, MB", f"{size_mb:.1f}")


def measure_idle(table: Table, fleet: Fleet) -> None:
    """Measure the processor time and memory of an entry and a sidecar without load."""
    names = ("entry-1", "sidecar-1")
    cpu_timer = CpuTimer(fleet, names)
    time.sleep(IDLE_S)
    for name, used_s in cpu_timer.used_s().items():
        table.add(f"{name} idle, % of a core", f"{used_s / IDLE_S * 100:.2f}")
    for name in names:
        pid = fleet.members[name].process.pid  # type: ignore[union-attr]
        table.add(f"{name} resident idle, MB", f"{resident_mb(pid):.1f}")


def measure_events(table: Table, fleet: Fleet) -> None:
    """Measure the processor time of one streamed event in each process."""
    names = ("entry-1", "sidecar-1", "target-1")
    cpu_timer = CpuTimer(fleet, names)

    def run_stream(number: int) -> None:
        reply = fleet.request_completion(
            "entry-1", f"s{number}", tokens=EVENTS_PER_STREAM, stream=True
        )
        assert reply.status == 200, reply

    run_concurrently(STREAM_COUNT, run_stream)
    for name, used_s in cpu_timer.used_s().items():
        cost_us = used_s / (STREAM_COUNT * EVENTS_PER_STREAM) * 1e6
        table.add(f"{name}, us a streamed event", f"{cost_us:.0f}")
    for name in names[:2]:
        pid = fleet.members[name].process.pid  # type: ignore[union-attr]
        table.add(f"{name} resident after streams, MB", f"{resident_mb(pid):.1f}")


def measure_in_flight(table: Table, fleet: Fleet) -> None:
    """Measure the memory of one more stream in flight from two stream counts."""
    names = ("entry-1", "sidecar-1")
    resident_mb_by_count: dict[int, dict[str, float]] = {}
    for count in IN_FLIGHT_COUNTS:
        threads = [
            threading.Thread(
                target=fleet.request_completion,
                args=("entry-1", f"f{count}-{number}"),
                kwargs={"tokens": EVENTS_PER_STREAM, "stream": True},
            )
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        time.sleep(SAMPLE_DELAY_S)
        resident_mb_by_count[count] = {
            name: resident_mb(fleet.members[name].process.pid)  # type: ignore[union-attr]
            for name in names
        }
        running_count = len(fleet.status("sidecar-1")["running"])
        table.add(f"streams running of {count} sent", running_count)
        for thread in threads:
            thread.join()
    few, many = IN_FLIGHT_COUNTS
    for name in names:
        growth_mb = (
            resident_mb_by_count[many][name] - resident_mb_by_count[few][name]
        ) / (many - few)
        table.add(f"{name}, KB a stream in flight", f"{growth_mb * 1024:.0f}")


def measure_calls(table: Table, fleet: Fleet) -> None:
    """Measure the processor time of one unstreamed request and one control call."""
    names = ("entry-1", "sidecar-1")
    cpu_timer = CpuTimer(fleet, names)
    for number in range(CALL_COUNT):
        fleet.request_completion("entry-1", f"c{number}", tokens=1)
    for name, used_s in cpu_timer.used_s().items():
        table.add(f"{name}, us a request", f"{used_s / CALL_COUNT * 1e6:.0f}")
    cpu_timer = CpuTimer(fleet, ("sidecar-1",))
    port = fleet.members["sidecar-1"].port
    for _number in range(CALL_COUNT):
        request(port, "/control/report")
    cost_us = cpu_timer.used_s()["sidecar-1"] / CALL_COUNT * 1e6
    table.add("sidecar-1, us a report on a new connection", f"{cost_us:.0f}")
    cpu_timer = CpuTimer(fleet, ("sidecar-1",))
    with httpcore.ConnectionPool() as pool:
        for _number in range(CALL_COUNT):
            pool.request("GET", f"http://{HOST}:{port}/control/report")
    cost_us = cpu_timer.used_s()["sidecar-1"] / CALL_COUNT * 1e6
    table.add("sidecar-1, us a report on a kept connection", f"{cost_us:.0f}")


def main() -> None:
    """Run all benchmarks of processes and print their table."""
    table = Table(title="processes", columns=("what", "figure"))
    measure_imports(table)
    fleet = Fleet(
        engine_count=1,
        service_count=0,
        entry_count=1,
        tree=TREE.read_text(),
        engine_settings='{"token_ms": 20, "token_ms_per_stream": 0, "max_batch": 64}',
    )
    try:
        fleet.start()
        measure_idle(table, fleet)
        measure_calls(table, fleet)
        measure_events(table, fleet)
        measure_in_flight(table, fleet)
    finally:
        fleet.stop()
    print(table.text())


if __name__ == "__main__":
    main()
