"""Decide whether a request may go to another target after a failure."""

from enum import StrEnum

from pistachiohaven.components.fleet import RequestKind, Route


class Failure(StrEnum):
    """Name how a dispatch to a target ended without the whole answer."""

    NOT_SENT = "not_sent"
    """No byte of the request left this process."""

    NEVER_RAN = "never_ran"
    """The target says that it did not run the request."""

    FAILED = "failed"
    """The target answered with an error of its own."""

    NO_ANSWER = "no_answer"
    """The request was sent, and no usable answer came."""

    BROKEN = "broken"
    """The answer broke off after some of it went to the caller."""


class Resend(StrEnum):
    """Say how a request may go on."""

    AGAIN = "again"
    RESUME = "resume"
    NEVER = "never"


_SAFE = frozenset({Failure.NOT_SENT, Failure.NEVER_RAN})


def resend_after(route: Route, failure: Failure) -> Resend:
    """Return how a request on `route` may go on after `failure`.

    Only a target's own statement or an unused connection frees a request that may run
    once.
    """
    if failure in _SAFE:
        return Resend.AGAIN
    if not route.repeatable:
        return Resend.NEVER
    if failure is not Failure.BROKEN:
        return Resend.AGAIN
    return Resend.RESUME if route.kind is RequestKind.STREAM else Resend.NEVER
