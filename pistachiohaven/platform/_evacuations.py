"""Decoding of the store entries with which operators evacuate data centres."""

from .const import EVACUATIONS_PREFIX


def decode_evacuation(key: str) -> str:
    """Return the data centre that the entry `key` evacuates, empty if it names none.

    The entry counts whatever its value is.
    """
    return key.removeprefix(EVACUATIONS_PREFIX)
