"""Quota of one request at a gateway."""

import trio

from pistachiohaven.components.fleet import Organisation
from pistachiohaven.const import MS_PER_S

from ._state import GatewayState
from .const import QUOTA_CHECK_INTERVAL_MS


async def charge_quota(
    state: GatewayState, organisation: Organisation, tokens: int, *, until_ms: int
) -> int | None:
    """Charge `tokens` to the organisation's quota at this gateway.

    Shortly after a start, it first waits until `until_ms` at most for what other
    gateways report. Returns None, or the time in milliseconds after which the tokens
    would fit; nothing is charged then.
    """
    clock, quota = state.clock, state.quota
    if quota.has_limit(organisation.name):
        while True:
            now_ms = clock.now_ms()
            wait_ms = min(quota.start_wait_ms(now_ms=now_ms), until_ms - now_ms)
            if wait_ms <= 0:
                break
            await trio.sleep(min(wait_ms, QUOTA_CHECK_INTERVAL_MS) / MS_PER_S)
    return quota.charge(organisation.name, tokens, now_ms=clock.now_ms())
