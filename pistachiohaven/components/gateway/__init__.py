"""Gateway, which accepts callers' requests and dispatches them directly to targets."""

from ._daemon import run_gateway

__all__ = ["run_gateway"]
