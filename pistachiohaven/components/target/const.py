"""Constants of calls to targets."""

from typing import Final

REQUEST_ID_HEADER: Final = b"x-request-id"
CANCEL_PATH: Final = "/v1/cancel/"
"""Start of the path that cancels a request; the request id follows it."""

EVENT_END: Final = b"\n\n"
"""End of a server-sent event; an engine sends one event per token."""
