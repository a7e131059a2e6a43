"""Exceptions that end a process or a command."""


class PistachiohavenError(Exception):
    """Base class of the exceptions of this package."""


class InvariantError(PistachiohavenError):
    """Violated invariant, which indicates a bug in the code."""


class SettingsError(PistachiohavenError):
    """Invalid settings or command argument.

    For a settings file, the text has the file, line and key of each issue.
    """
