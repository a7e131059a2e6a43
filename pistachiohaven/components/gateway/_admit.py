"""Admission of a caller's request before its body is read."""

from result import Err

from pistachiohaven.components.web import Scope
from pistachiohaven.core import Reason

from ._call import BAD_REQUEST, Call, RequestError, parse_call
from ._request import UNAVAILABLE
from ._state import GatewayState
from .const import CONFIG_STALE_AFTER_MS


def admit_call(
    state: GatewayState, scope: Scope, *, split_fraction: float, now_ms: int
) -> Call | RequestError:
    """Return the parsed request, or why it is refused on arrival.

    `split_fraction` (0 to 1) selects the pool where a route splits its traffic. Nothing
    is changed.
    """
    if not state.accepts_requests():
        return RequestError(status=UNAVAILABLE, reason=Reason.DRAINING)
    if state.route_table is None:
        return RequestError(status=UNAVAILABLE, reason=Reason.NO_SETTINGS)
    parsed = parse_call(
        scope, state.route_table, split_fraction=split_fraction, now_ms=now_ms
    )
    if isinstance(parsed, Err):
        return _adjust_for_stale_config(state, parsed.err_value)
    return parsed.ok_value


def _adjust_for_stale_config(
    state: GatewayState, request_error: RequestError
) -> RequestError:
    """Return `request_error`, or a retryable one if the configuration may be stale.

    A newer configuration may contain the unknown route or key. An invalid request
    stays invalid.
    """
    age_ms = state.config_age_ms()
    is_stale = age_ms is None or age_ms > CONFIG_STALE_AFTER_MS
    if request_error.status == BAD_REQUEST or not is_stale:
        return request_error
    return RequestError(
        status=UNAVAILABLE,
        reason=request_error.reason,
        detail="configuration is stale",
    )
