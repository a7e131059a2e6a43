"""Quota of one request at a gateway."""

from pistachiohaven.components.fleet import Organisation

from ._state import GatewayState


async def charge_quota(
    state: GatewayState, organisation: Organisation, tokens: int
) -> int | None:
    """Charge `tokens` to the organisation's quota at this gateway.

    Returns None, or the time in milliseconds after which they would fit; nothing is
    charged then.
    """
    return state.quota.charge(organisation.name, tokens, now_ms=state.clock.now_ms())
