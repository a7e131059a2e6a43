"""Conversion of responses of key owners and sidecars to events of a request."""

from result import Err, Ok

from pistachiohaven.components.dispatch import Stage
from pistachiohaven.components.peer import (
    ClaimResponse,
    DuplicateMessage,
    RefusalMessage,
    StageResponse,
    decode,
)
from pistachiohaven.components.peer import const as wire
from pistachiohaven.core import Reason

from ._steps import (
    ClaimRefused,
    DuplicateOffer,
    Event,
    Granted,
    Refused,
    ResponseLost,
    ResponseUnavailable,
    StageReceived,
)


def claim_event(response: ClaimResponse) -> Event:
    """Return the event for a key owner's response to a claim."""
    if response.grant is not None:
        return Granted(grant=response.grant)
    return ClaimRefused(reason=response.reason or Reason.HOME_UNREACHABLE)


def response_event(status: int, content: bytes) -> Event:
    """Return the event for a sidecar's response that is not the target's response.

    An unknown status or an undecodable body counts as a lost response.
    """
    if status == wire.STATUS_DUPLICATE:
        decoded_duplicate = decode(content, DuplicateMessage)
        if isinstance(decoded_duplicate, Ok):
            message = decoded_duplicate.ok_value
            return DuplicateOffer(request_id=message.request_id, stage=message.stage)
    if status == wire.STATUS_GONE:
        return _unavailable_event(content)
    if status == wire.STATUS_REFUSED:
        decoded_refusal = decode(content, RefusalMessage)
        if isinstance(decoded_refusal, Ok):
            refusal = decoded_refusal.ok_value
            return Refused(reason=refusal.reason, retry_after_ms=refusal.retry_after_ms)
    return ResponseLost()


def _unavailable_event(content: bytes) -> Event:
    """Return the event for a dispatched request whose response is unavailable.

    It was either cut, or it finished and the sidecar no longer keeps the response.
    """
    decoded = decode(content, RefusalMessage)
    if isinstance(decoded, Err) or decoded.ok_value.reason is Reason.ANSWER_NOT_KEPT:
        return ResponseUnavailable()
    cut = StageResponse(request_id="", stage=Stage.CUT, reason=decoded.ok_value.reason)
    return StageReceived(response=cut)
