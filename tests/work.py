"""Factories of requests and instances for tests."""

from pistachiohaven.core import Instance, Work


def make_work(request_id: str = "r1", **changes: object) -> Work:
    """Return a small request with default fields, overridden by `changes`."""
    values: dict[str, object] = {
        "request_id": request_id,
        "organisation": "org",
        "rank": 1,
        "weight": 1.0,
        "pool": "draft",
        "prefill_tokens": 100,
        "decode_tokens": 50,
        "idempotent": True,
        "max_queue_ms": 1_000,
    }
    values.update(changes)
    return Work(**values)  # type: ignore[arg-type]


def make_instance(name: str, **changes: object) -> Instance:
    """Return a listed sidecar with default fields, overridden by `changes`."""
    values: dict[str, object] = {
        "name": name,
        "role": "sidecar",
        "data_centre": "dc-1",
        "region": "west",
        "address": f"{name}:1",
        "pools": ("draft",),
    }
    values.update(changes)
    return Instance(**values)  # type: ignore[arg-type]
