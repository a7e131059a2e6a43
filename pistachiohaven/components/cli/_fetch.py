"""GET requests to running processes."""

import httpcore

from pistachiohaven.exceptions import SettingsError

TIMEOUT_S = 5.0
"""Longest wait for a connection and for a response."""


def fetch(url: str, path: str) -> httpcore.Response:
    """Return the response to a GET request for `path` at `url` (ip:port).

    Raises SettingsError if there is no response or `url` is not an address.
    """
    base = url if url.startswith("http://") else f"http://{url}"
    timeout = {"connect": TIMEOUT_S, "read": TIMEOUT_S}
    try:
        return httpcore.request(
            "GET", f"{base.rstrip('/')}{path}", extensions={"timeout": timeout}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise SettingsError(f"{url}: no response: {error}") from error
    except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
        raise SettingsError(f"{url}: not an address: {error}") from error
