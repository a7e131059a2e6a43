"""Status of a running process."""

import msgspec

from ._fetch import fetch


def fetch_status(url: str) -> str:
    """Return the status of the process at `url` as indented JSON.

    Raises SettingsError if there is no response or `url` is not an address.
    """
    content = msgspec.json.format(fetch(url, "/status").content, indent=2)
    return content.decode() + "\n"
