"""Take callers' requests and send them straight to targets."""

from ._daemon import run_gateway

__all__ = ["run_gateway"]
