"""Prometheus metrics of an entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge


class EntryMetrics:
    """Counters and gauges of one entry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.outcomes = Counter(
            "entry_outcomes",
            "Requests by what the caller was told",
            ["outcome", "rank"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "entry_refusals",
            "Requests not answered whole, by reason",
            ["reason", "rank"],
            registry=self.registry,
        )
        self.retries = Counter(
            "entry_retries",
            "Further offers, by the reason of the refusal before",
            ["reason", "rank"],
            registry=self.registry,
        )
        self.goodput = Counter(
            "entry_goodput",
            "Requests answered whole within their deadline",
            ["rank"],
            registry=self.registry,
        )
        self.resumes = Counter(
            "entry_resumes", "Answers taken up again", registry=self.registry
        )
        self.revision = Gauge(
            "entry_revision", "Settings revision in force", registry=self.registry
        )
        self.list_version = Gauge(
            "entry_list_version", "List version known", registry=self.registry
        )
        self.control_bytes = Gauge(
            "entry_control_bytes",
            "Bytes of control messages sent",
            registry=self.registry,
        )
        self.platform_reads = Gauge(
            "entry_platform_reads", "Reads of the platform", registry=self.registry
        )
        self.stale_reads = Gauge(
            "entry_stale_reads",
            "Reads of the platform older than what is in force",
            registry=self.registry,
        )
