"""Read what homes and sidecars reply as events of a request."""

from result import Err, Ok

from pistachiohaven.components.dispatch import Stage
from pistachiohaven.components.peer import (
    ClaimAnswer,
    KnownMessage,
    RefusalMessage,
    StageAnswer,
    decode,
)
from pistachiohaven.components.peer import const as wire
from pistachiohaven.core import Reason

from ._steps import (
    AlreadyKnown,
    AnswerGone,
    ClaimRefused,
    Event,
    Granted,
    Refused,
    Silent,
    Staged,
)


def claim_event(answer: ClaimAnswer) -> Event:
    """Return what an answer of the home means."""
    if answer.grant is not None:
        return Granted(grant=answer.grant)
    return ClaimRefused(reason=answer.reason or Reason.HOME_UNREACHABLE)


def declined(status: int, content: bytes) -> Event:
    """Return what a reply without an answer means."""
    if status == wire.STATUS_KNOWN:
        known = decode(content, KnownMessage)
        if isinstance(known, Ok):
            message = known.ok_value
            return AlreadyKnown(request_id=message.request_id, stage=message.stage)
    if status == wire.STATUS_GONE:
        return _gone(content)
    if status == wire.STATUS_REFUSED:
        refused = decode(content, RefusalMessage)
        if isinstance(refused, Ok):
            refusal = refused.ok_value
            return Refused(reason=refusal.reason, retry_after_ms=refusal.retry_after_ms)
    return Silent()


def _gone(content: bytes) -> Event:
    """Return why a dispatched request has no answer to send."""
    gone = decode(content, RefusalMessage)
    if isinstance(gone, Err) or gone.ok_value.reason is Reason.ANSWER_NOT_KEPT:
        return AnswerGone()
    cut = StageAnswer(request_id="", stage=Stage.CUT, reason=gone.ok_value.reason)
    return Staged(answer=cut)
