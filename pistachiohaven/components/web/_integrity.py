"""Signs that a response is not one whole response to its request."""

import re

import httpcore

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def find_fault(response: httpcore.Response) -> str | None:
    """Return why the head of a response is not valid, None if it is.

    A server may end within a head and send another response on the same connection.
    Parsed as one, they have the status of the first and the last headers of the second.
    """
    values = [value for _, value in response.headers]
    values.append(response.extensions.get("reason_phrase", b""))
    if any(_STATUS_LINE.search(value) for value in values):
        return "two responses in one head"
    return None
