"""Prometheus metrics of a gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)
"""Bucket bounds; they double around the first-byte targets of 0.1 s to 0.8 s."""


class GatewayMetrics:
    """Metrics of one gateway with their registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.responses = Counter(
            "gateway_answers",
            "Requests by status told and reason",
            ["status", "reason", "rank"],
            registry=self.registry,
        )
        self.dispatches = Counter(
            "gateway_dispatches",
            "Dispatches to targets by how they ended",
            ["pool", "end"],
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "gateway_held_bytes",
            "Bytes of bodies that the gateway holds",
            ["kind"],
            registry=self.registry,
        )
        self.held_bytes_limit = Gauge(
            "gateway_held_bytes_limit",
            "Largest number of bytes of bodies that the gateway holds",
            ["kind"],
            registry=self.registry,
        )
        self.crashes_not_counted = Counter(
            "gateway_crashes_not_counted",
            "Requests broken by a crash that is no evidence against their parts",
            ["explanation"],
            registry=self.registry,
        )
        self.hedges = Counter(
            "gateway_hedges",
            "Hedges by how they ended; all of them are also counted as sent",
            ["pool", "end"],
            registry=self.registry,
        )
        self.hedges_denied = Counter(
            "gateway_hedges_denied",
            "Slow requests that were not hedged, by reason",
            ["pool", "reason"],
            registry=self.registry,
        )
        self.hedge_wasted_ms = Counter(
            "gateway_hedge_wasted_milliseconds",
            "Time for which targets worked on hedged requests without being needed",
            ["pool"],
            registry=self.registry,
        )
        self.first_byte_s = Histogram(
            "gateway_first_byte_seconds",
            "Time from a request's head to the first byte of its answer",
            ["rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.wait_s = Histogram(
            "gateway_wait_seconds",
            "Time that a request waited for a place",
            ["rank"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting = Gauge(
            "gateway_waiting", "Requests that wait for a place", registry=self.registry
        )
        self.in_flight = Gauge(
            "gateway_in_flight", "Requests being served", registry=self.registry
        )
        self.evacuated_data_centres = Gauge(
            "gateway_evacuated_data_centres",
            "Data centres whose targets get no requests",
            registry=self.registry,
        )
        self.config_version = Gauge(
            "gateway_config_version", "Configuration in force", registry=self.registry
        )
        self.revision = Gauge(
            "gateway_store_revision",
            "Newest published change taken in",
            registry=self.registry,
        )
        self.live_peers = Gauge(
            "gateway_live_peers", "Gateways heard of lately", registry=self.registry
        )
        self.cold_targets = Gauge(
            "gateway_cold_targets",
            "Targets held to be cold",
            registry=self.registry,
        )
        self.slots_offered = Counter(
            "gateway_slots_offered",
            "Freed slots offered to peers",
            registry=self.registry,
        )
        self.slots_received = Counter(
            "gateway_slots_received",
            "Offers of peers by what became of them here",
            ["outcome"],
            registry=self.registry,
        )
        self.connections_opened = Gauge(
            "gateway_connections_opened",
            "Connections opened to targets since the start",
            registry=self.registry,
        )
        self.store_reads = Gauge(
            "gateway_store_reads", "Reads of the store", registry=self.registry
        )
        self.dropped_log_lines = Gauge(
            "gateway_dropped_log_lines",
            "Log lines that standard output did not take in time",
            registry=self.registry,
        )
