"""Status of a running process."""

import httpcore
import msgspec

from pistachiohaven.exceptions import SettingsError

TIMEOUT_S = 5.0


def fetch_status(url: str) -> str:
    """Return the status of the process at `url` as indented JSON.

    Raises SettingsError if there is no response or `url` is not an address.
    """
    base = url if url.startswith("http://") else f"http://{url}"
    timeout = {"connect": TIMEOUT_S, "read": TIMEOUT_S}
    try:
        response = httpcore.request(
            "GET", f"{base.rstrip('/')}/status", extensions={"timeout": timeout}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as error:
        raise SettingsError(f"{url}: no response: {error}") from error
    except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
        raise SettingsError(f"{url}: not an address: {error}") from error
    content = msgspec.json.format(response.content, indent=2)
    return content.decode() + "\n"
