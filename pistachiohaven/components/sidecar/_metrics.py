"""Prometheus metrics of a sidecar."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class SidecarMetrics:
    """Counters and gauges of one sidecar."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.refusals = Counter(
            "sidecar_refusals",
            "Offers refused before dispatch",
            ["reason", "rank"],
            registry=self.registry,
        )
        self.dispatches = Counter(
            "sidecar_dispatches",
            "Requests handed to the target",
            ["rank"],
            registry=self.registry,
        )
        self.ends = Counter(
            "sidecar_ends",
            "Dispatched requests that ended",
            ["how", "rank"],
            registry=self.registry,
        )
        self.wasted_prefill = Counter(
            "sidecar_wasted_prefill_tokens",
            "Prompt tokens of requests that were cancelled",
            ["reason"],
            registry=self.registry,
        )
        self.claims = Counter(
            "sidecar_claims",
            "Claims of idempotency keys answered",
            ["answer"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "sidecar_in_hand", "Requests waiting or running", registry=self.registry
        )
        self.revision = Gauge(
            "sidecar_revision", "Settings revision in force", registry=self.registry
        )
        self.control_bytes = Gauge(
            "sidecar_control_bytes",
            "Bytes of control messages sent",
            registry=self.registry,
        )
