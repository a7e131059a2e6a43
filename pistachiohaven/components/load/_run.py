"""Run of a load against running entries."""

import random
from collections import Counter
from itertools import cycle

import httpcore
import msgspec
import trio
from result import Err

from pistachiohaven.components.web import call as web_call
from pistachiohaven.components.web import make_connection_pool
from pistachiohaven.config import load
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, make_uuid7

from ._client import CallResult, make_call
from ._plan import Call, plan_calls
from ._report import LoadReport, make_report
from ._settings import LoadSettings
from .const import CALL_TIMEOUT_MS, REPEAT_DELAY_MAX_MS


class _Runs(msgspec.Struct, frozen=True):
    """Run counts of one target; `begun` counts the runs that began, by job."""

    begun: dict[str, int] = {}
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0


class LoadRun:
    """Open-loop run of planned calls: a slow response delays no later call."""

    def __init__(self, *, settings: LoadSettings, entries: list[str]) -> None:
        self._settings = settings
        self._entries = entries
        self._clock = Clock()
        self._pool: httpcore.AsyncConnectionPool = make_connection_pool()
        self._rng = random.Random(settings.seed)
        self.results: list[CallResult] = []

    async def run(self) -> LoadReport:
        """Send all calls, then read the targets' run counts and return the report."""
        started_ms = self._clock.now_ms()
        entries = cycle(range(len(self._entries)))
        async with trio.open_nursery() as nursery:
            for planned in plan_calls(self._settings):
                wait_ms = started_ms + planned.at_ms - self._clock.now_ms()
                await trio.sleep(max(wait_ms, 0) / MS_PER_S)
                nursery.start_soon(self._send_call, planned, next(entries))
        return await self._report()

    async def _send_call(self, planned: Call, entry_index: int) -> None:
        """Send a call and, if it is repeated, its repeat through the next entry."""
        key = ""
        if planned.is_repeated:
            key = make_uuid7(wall_ms=self._clock.wall_ms(), rng=self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_try, planned, entry_index, key)
            if planned.is_repeated:
                await trio.sleep(self._rng.random() * REPEAT_DELAY_MAX_MS / MS_PER_S)
                nursery.start_soon(self._run_try, planned, entry_index + 1, key)

    async def _run_try(self, planned: Call, entry_index: int, key: str) -> None:
        entry = self._entries[entry_index % len(self._entries)]
        call_result = await make_call(self._pool, entry, planned, key, self._clock)
        self.results.append(call_result)

    async def _report(self) -> LoadReport:
        runs: Counter[str] = Counter()
        prefill_tokens = wasted_prefill_tokens = 0
        for target in self._settings.targets:
            target_runs = await self._read_runs(target)
            runs.update(target_runs.begun)
            prefill_tokens += target_runs.prefill_tokens
            wasted_prefill_tokens += target_runs.wasted_prefill_tokens
        report = make_report(self.results, runs)
        report.prefill_tokens = prefill_tokens
        report.wasted_prefill_tokens = wasted_prefill_tokens
        return report

    async def _read_runs(self, target: str) -> _Runs:
        """Return the run counts of a target, empty if the call fails."""
        response = await web_call(
            self._pool,
            address=target,
            path="/control/runs",
            method="GET",
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if isinstance(response, Err):
            return _Runs()
        return msgspec.json.decode(response.ok_value.body, type=_Runs)


def run_load(url: str, settings_file: str) -> LoadReport:
    """Run the load in `settings_file` and return the report.

    `url` lists the addresses of the entries, separated by commas. Raises SettingsError
    if the settings are invalid.
    """
    settings = load(settings_file, LoadSettings)
    entries = [part.removeprefix("http://").rstrip("/") for part in url.split(",")]
    return trio.run(LoadRun(settings=settings, entries=entries).run)
