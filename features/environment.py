"""End every process that a scenario started."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Begin each scenario without a fleet."""
    context.fleet = None
    context.callers = {}
    context.replies = {}


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the fleet and show the logs of a failed scenario."""
    if context.fleet is None:
        return
    context.fleet.stop()
    if scenario.status.name in ("failed", "error"):
        print(f"logs: {context.fleet.folder}")
