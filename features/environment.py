"""Hooks of behave that set up and clean up each scenario."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Clear the state that the steps share."""
    context.fleet = None
    context.callers = {}
    context.replies = {}


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the fleet and print the folder with the logs of a failed scenario."""
    if context.fleet is None:
        return
    context.fleet.stop()
    if scenario.status.name in ("failed", "error"):
        print(f"logs: {context.fleet.folder}")
