"""Define the exceptions that stop a process or a command."""


class PistachiohavenError(Exception):
    """Base of every exception of this package."""


class InvariantError(PistachiohavenError):
    """A rule that the code itself guarantees does not hold."""


class SettingsError(PistachiohavenError):
    """A settings file cannot be used; the text names file, line and key."""
