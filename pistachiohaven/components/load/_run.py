"""Run a load against real entries."""

import random
from collections import Counter
from itertools import cycle

import httpcore
import msgspec
import trio
from result import Err

from pistachiohaven.components.web import call as web_call
from pistachiohaven.components.web import make_pool
from pistachiohaven.config import load
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import Clock, make_uuid7

from ._client import Ending, make_call
from ._plan import Call, plan_calls
from ._report import LoadReport, add_up
from ._settings import LoadSettings
from .const import PATIENCE_MS, REPEAT_PAUSE_MS


class _Runs(msgspec.Struct, frozen=True):
    begun: dict[str, int] = {}
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0


class LoadRun:
    """Send planned calls in open loop: a slow answer delays no later call."""

    def __init__(self, *, settings: LoadSettings, entries: list[str]) -> None:
        self._settings = settings
        self._entries = entries
        self._clock = Clock()
        self._pool: httpcore.AsyncConnectionPool = make_pool()
        self._rng = random.Random(settings.seed)
        self.endings: list[Ending] = []

    async def run(self) -> LoadReport:
        """Send everything, then read the targets' counts."""
        started_ms = self._clock.now_ms()
        entries = cycle(range(len(self._entries)))
        async with trio.open_nursery() as nursery:
            for planned in plan_calls(self._settings):
                wait_ms = started_ms + planned.at_ms - self._clock.now_ms()
                await trio.sleep(max(wait_ms, 0) / MS_PER_S)
                nursery.start_soon(self._call, planned, next(entries))
        return await self._report()

    async def _call(self, planned: Call, which: int) -> None:
        """Make a call, and its repeat through the next entry where planned."""
        key = ""
        if planned.repeat:
            key = make_uuid7(wall_ms=self._clock.wall_ms(), rng=self._rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._try, planned, which, key)
            if planned.repeat:
                await trio.sleep(self._rng.random() * REPEAT_PAUSE_MS / MS_PER_S)
                nursery.start_soon(self._try, planned, which + 1, key)

    async def _try(self, planned: Call, which: int, key: str) -> None:
        entry = self._entries[which % len(self._entries)]
        ending = await make_call(self._pool, entry, planned, key, self._clock)
        self.endings.append(ending)

    async def _report(self) -> LoadReport:
        runs: Counter[str] = Counter()
        prefill = wasted = 0
        for target in self._settings.targets:
            found = await self._runs_of(target)
            runs.update(found.begun)
            prefill += found.prefill_tokens
            wasted += found.wasted_prefill_tokens
        report = add_up(self.endings, runs)
        report.prefill_tokens = prefill
        report.wasted_prefill_tokens = wasted
        return report

    async def _runs_of(self, target: str) -> _Runs:
        reply = await web_call(
            self._pool,
            address=target,
            path="/control/runs",
            method="GET",
            timeout_ms=PATIENCE_MS,
        )
        if isinstance(reply, Err):
            return _Runs()
        return msgspec.json.decode(reply.ok_value.body, type=_Runs)


def run_load(url: str, settings_file: str) -> LoadReport:
    """Run the load in `settings_file` against `url`, entries parted by commas."""
    settings = load(settings_file, LoadSettings)
    entries = [part.removeprefix("http://").rstrip("/") for part in url.split(",")]
    return trio.run(LoadRun(settings=settings, entries=entries).run)
