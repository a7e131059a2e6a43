"""Measure the processes themselves: per request, per streamed event, idle."""

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
STREAMS = 16
EVENTS = 256
IN_FLIGHT = (8, 48)
HALF_WAY_S = 2.5
CALLS = 300
IDLE_S = 10.0
BARE = (
    ("python", "pass"),
    ("trio, hypercorn, httpcore", "import trio, hypercorn.trio, httpcore"),
    ("an entry's imports", "import pistachiohaven.components.entry._daemon"),
    ("a sidecar's imports", "import pistachiohaven.components.sidecar._daemon"),
)


def cpu_s(pid: int) -> float:
    """Return the processor time a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class Watch:
    """Measure the processor time of a fleet's members over a while."""

    def __init__(self, fleet: Fleet, names: tuple[str, ...]) -> None:
        self._pids = {name: fleet.members[name].process.pid for name in names}  # type: ignore[union-attr]
        self._before = {name: cpu_s(pid) for name, pid in self._pids.items()}

    def used(self) -> dict[str, float]:
        """Return the processor time used since, by member."""
        return {
            name: cpu_s(pid) - self._before[name] for name, pid in self._pids.items()
        }


def together(count: int, act: object) -> None:
    """Call `act` with each number, all at once."""
    threads = [
        threading.Thread(target=act, args=(number,))  # type: ignore[arg-type]
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_imports(table: Table) -> None:
    """Weigh what the libraries alone take."""
    code = "; print([l for l in open('/proc/self/status') if 'VmRSS' in l][0])"
    for name, imports in BARE:
        shown = subprocess.run(
            [sys.executable, "-c", imports + code],
            capture_output=True,
            text=True,
            check=True,
        )
        size = int(shown.stdout.split()[1]) / 1024
        table.add(f"resident after {name}, MB", f"{size:.1f}")


def measure_idle(table: Table, fleet: Fleet) -> None:
    """Measure what control alone takes."""
    names = ("entry-1", "sidecar-1")
    watch = Watch(fleet, names)
    time.sleep(IDLE_S)
    for name, used in watch.used().items():
        table.add(f"{name} idle, % of a core", f"{used / IDLE_S * 100:.2f}")
    for name in names:
        pid = fleet.members[name].process.pid  # type: ignore[union-attr]
        table.add(f"{name} resident idle, MB", f"{resident_mb(pid):.1f}")


def measure_events(table: Table, fleet: Fleet) -> None:
    """Measure one streamed event at the entry and the sidecar."""
    names = ("entry-1", "sidecar-1", "target-1")
    watch = Watch(fleet, names)

    def run_stream(number: int) -> None:
        reply = fleet.request_completion(
            "entry-1", f"s{number}", tokens=EVENTS, stream=True
        )
        assert reply.status == 200, reply

    together(STREAMS, run_stream)
    for name, used in watch.used().items():
        cost = used / (STREAMS * EVENTS) * 1e6
        table.add(f"{name}, us a streamed event", f"{cost:.0f}")
    for name in names[:2]:
        pid = fleet.members[name].process.pid  # type: ignore[union-attr]
        table.add(f"{name} resident after streams, MB", f"{resident_mb(pid):.1f}")


def measure_in_flight(table: Table, fleet: Fleet) -> None:
    """Measure the memory of one more stream in flight, from two loads."""
    names = ("entry-1", "sidecar-1")
    held: dict[int, dict[str, float]] = {}
    for count in IN_FLIGHT:
        threads = [
            threading.Thread(
                target=fleet.request_completion,
                args=("entry-1", f"f{count}-{number}"),
                kwargs={"tokens": EVENTS, "stream": True},
            )
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        time.sleep(HALF_WAY_S)
        held[count] = {
            name: resident_mb(fleet.members[name].process.pid)  # type: ignore[union-attr]
            for name in names
        }
        in_hand = len(fleet.status("sidecar-1")["running"])
        table.add(f"streams running of {count} sent", in_hand)
        for thread in threads:
            thread.join()
    few, many = IN_FLIGHT
    for name in names:
        grown = (held[many][name] - held[few][name]) / (many - few)
        table.add(f"{name}, KB a stream in flight", f"{grown * 1024:.0f}")


def measure_calls(table: Table, fleet: Fleet) -> None:
    """Measure one unstreamed request, and one control call."""
    names = ("entry-1", "sidecar-1")
    watch = Watch(fleet, names)
    for number in range(CALLS):
        fleet.request_completion("entry-1", f"c{number}", tokens=1)
    for name, used in watch.used().items():
        table.add(f"{name}, us a request", f"{used / CALLS * 1e6:.0f}")
    watch = Watch(fleet, ("sidecar-1",))
    port = fleet.members["sidecar-1"].port
    for _number in range(CALLS):
        request(port, "/control/report")
    cost = watch.used()["sidecar-1"] / CALLS * 1e6
    table.add("sidecar-1, us a report on a new connection", f"{cost:.0f}")
    watch = Watch(fleet, ("sidecar-1",))
    with httpcore.ConnectionPool() as pool:
        for _number in range(CALLS):
            pool.request("GET", f"http://{HOST}:{port}/control/report")
    cost = watch.used()["sidecar-1"] / CALLS * 1e6
    table.add("sidecar-1, us a report on a kept connection", f"{cost:.0f}")


def main() -> None:
    """Print the table."""
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
