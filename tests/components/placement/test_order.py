"""Replay of an overload with requests of very different lengths on one scheduler."""

import heapq
import random
from dataclasses import dataclass

import pytest

from pistachiohaven.components.fleet import Pool, Target
from pistachiohaven.components.placement import Job, Placement, Scheduler

POOL = Pool(
    name="p", is_engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=3
)
SLOTS = 7
TARGETS = 4
TOKEN_MS = 4.0
MEAN_TOKENS = 270
LOAD = 1.5
STEP_MS = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Served:
    """Share of all requests that were placed, and of the longest tenth of them."""

    all_share: float
    longest_share: float


def replay(seed: int, *, is_length_known: bool, length_ms: int = 40_000) -> Served:
    """Send `LOAD` times the work that the slots can do, with log-normal lengths.

    If the lengths are not known, all requests are expected to be equally long, so that
    they are served in the order of arrival.
    """
    rng = random.Random(seed)
    scheduler = Scheduler()
    scheduler.configure({"p": POOL})
    for number in range(TARGETS):
        scheduler.put_target(make_target(f"i-{number}"))
    mean_work_ms = MEAN_TOKENS * TOKEN_MS
    requests_per_step = LOAD * SLOTS * TARGETS * STEP_MS / mean_work_ms
    lengths: list[int] = []
    placed: list[int] = []
    ends: list[tuple[int, str, str]] = []
    for now_ms in range(0, length_ms, STEP_MS):
        while ends and ends[0][0] <= now_ms:
            _, request_id, target = heapq.heappop(ends)
            load = scheduler.load(target)
            assert load is not None
            load.record_completed(request_id, events=1, tokens=0, now_ms=now_ms)
        while rng.random() < requests_per_step / (1 + requests_per_step):
            tokens = min(int(rng.lognormvariate(4.9, 1.2)) + 1, 2_800)
            expected_tokens = tokens if is_length_known else MEAN_TOKENS
            job = make_job(len(lengths), expected_tokens, now_ms=now_ms)
            lengths.append(tokens)
            scheduler.submit(job, now_ms=now_ms)
        for decision in scheduler.schedule(now_ms=now_ms):
            if isinstance(decision, Placement):
                number = int(decision.job.request_id.removeprefix("r-"))
                tokens = lengths[number]
                placed.append(tokens)
                end_ms = now_ms + int(tokens * TOKEN_MS)
                heapq.heappush(ends, (end_ms, decision.job.request_id, decision.target))
    longest = sorted(lengths)[-len(lengths) // 10]
    return Served(
        all_share=len(placed) / len(lengths),
        longest_share=sum(tokens >= longest for tokens in placed)
        / sum(tokens >= longest for tokens in lengths),
    )


def make_target(name: str) -> Target:
    return Target(
        name=name,
        pool="p",
        address="10.0.0.1:80",
        data_centre="z",
        slots=SLOTS,
        leaving=False,
        started_ms=1,
    )


def make_job(number: int, output_tokens: int, *, now_ms: int) -> Job:
    return Job(
        request_id=f"r-{number}",
        pool="p",
        organisation="org",
        rank=0,
        prompt_tokens=500,
        shared_tokens=0,
        output_tokens=output_tokens,
        session_part="",
        arrived_ms=now_ms,
        first_byte_due_ms=now_ms + 400,
        wait_limit_ms=now_ms + 2_000,
        deadline_ms=now_ms + 15_000,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_short_requests_go_first_and_long_ones_do_not_starve(seed: int) -> None:
    """Half of the requests that are lost in the order of arrival are served.

    The longest tenth must be served at least half as often as all.
    """
    in_order = replay(seed, is_length_known=False)
    served = replay(seed, is_length_known=True)
    assert 1 - served.all_share <= (1 - in_order.all_share) / 2
    assert served.longest_share >= 0.5 * served.all_share
