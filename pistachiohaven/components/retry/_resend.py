"""Rules for sending a request to another target after a failure."""

from enum import StrEnum

from pistachiohaven.components.fleet import RequestKind, Route


class Failure(StrEnum):
    """Way in which a dispatch to a target ended without a complete response."""

    NOT_SENT = "not_sent"
    """No byte of the request left this process."""

    NEVER_RAN = "never_ran"
    """The target states that it did not run the request."""

    FAILED = "failed"
    """The target responded with an error."""

    NO_ANSWER = "no_answer"
    """The request was sent, but no usable response was received."""

    BROKEN = "broken"
    """The response ended early, after a part of it was sent to the caller."""


class Resend(StrEnum):
    """Way in which a request may continue after a failure.

    `AGAIN` sends it to another target, `RESUME` does so from the last event that the
    caller has, and `NEVER` ends it.
    """

    AGAIN = "again"
    RESUME = "resume"
    NEVER = "never"


_NOT_RUN_FAILURES = frozenset({Failure.NOT_SENT, Failure.NEVER_RAN})


def resend_after(route: Route, failure: Failure) -> Resend:
    """Return how a request on `route` may continue after `failure`.

    A request that may run only once is sent again only if the target states that it did
    not run it, or if nothing was sent.
    """
    if failure in _NOT_RUN_FAILURES:
        return Resend.AGAIN
    if not route.is_repeatable:
        return Resend.NEVER
    if failure is not Failure.BROKEN:
        return Resend.AGAIN
    return Resend.RESUME if route.kind is RequestKind.STREAM else Resend.NEVER
