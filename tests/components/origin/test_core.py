"""Test the versions at which streams began, on a virtual clock."""

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.origin import StreamOrigin, StreamOrigins, stream_key
from pistachiohaven.components.origin.const import SERVING_MARGIN_MS

TIMEOUT_MS = 40_000
SPAN_MS = 2 * TIMEOUT_MS + SERVING_MARGIN_MS


def make_origins(*versions: str, now_ms: int = 0) -> StreamOrigins:
    """Return origins whose pool `p` has a target of each version."""
    origins = StreamOrigins()
    origins.set_stream_timeout(TIMEOUT_MS)
    origins.history.restart(now_ms=now_ms)
    for number, version in enumerate(versions):
        origins.history.put(f"i-{number}", pool="p", version=version, now_ms=now_ms)
    return origins


def origin(version: str, *, source: str = "own") -> StreamOrigin:
    return StreamOrigin(pool=short_hash("p"), version=version, source=source)


def test_origin_is_kept_for_as_long_as_a_stream_lasts() -> None:
    origins = make_origins("v1")
    stream = stream_key("77aa")
    origins.record(stream, origin("v1"), now_ms=0)
    assert origins.find(stream, now_ms=2 * TIMEOUT_MS) == origin("v1")
    assert origins.find(stream, now_ms=2 * TIMEOUT_MS + 1) is None
    assert origins.find(stream_key("77ab"), now_ms=0) is None


def test_shorter_timeout_does_not_shorten_the_retention() -> None:
    """Streams that began under the earlier configuration may still be taken up."""
    origins = make_origins("v1")
    origins.set_stream_timeout(1_000)
    origins.record(stream_key("77aa"), origin("v1"), now_ms=0)
    assert origins.find(stream_key("77aa"), now_ms=2 * TIMEOUT_MS) is not None


def test_first_origin_of_a_stream_stays_and_is_kept_longer() -> None:
    origins = make_origins("v1")
    stream = stream_key("77aa")
    origins.record(stream, origin("v1"), now_ms=0)
    known = origins.record(stream, origin("v1.1", source="peer"), now_ms=TIMEOUT_MS)
    assert known == origin("v1")
    assert origins.find(stream, now_ms=3 * TIMEOUT_MS) == origin("v1")


def test_version_is_sole_only_after_a_whole_span_of_history() -> None:
    """Before, streams may have begun at a version that had served earlier."""
    origins = make_origins("v1", "v1")
    assert origins.sole_version("p", at_ms=SPAN_MS - 1) is None
    assert origins.sole_version("p", at_ms=SPAN_MS) == "v1"
    assert origins.sole_version("other", at_ms=SPAN_MS) is None


def test_version_that_has_left_counts_for_a_span() -> None:
    origins = make_origins("v1", "v1.1")
    assert origins.sole_version("p", at_ms=SPAN_MS) is None
    origins.history.remove("i-0", now_ms=SPAN_MS)
    assert origins.sole_version("p", at_ms=2 * SPAN_MS) is None
    assert origins.sole_version("p", at_ms=2 * SPAN_MS + 1) == "v1.1"


def test_target_that_restarts_with_another_version_counts_as_both() -> None:
    origins = make_origins("v1")
    origins.history.put("i-0", pool="p", version="v1.1", now_ms=SPAN_MS)
    assert origins.sole_version("p", at_ms=SPAN_MS) is None
    assert origins.sole_version("p", at_ms=2 * SPAN_MS + 1) == "v1.1"


def test_full_read_of_the_list_begins_a_new_history() -> None:
    """Versions may have served and left in a gap of the watch."""
    origins = make_origins("v1")
    origins.history.restart(now_ms=SPAN_MS)
    assert origins.sole_version("p", at_ms=2 * SPAN_MS - 1) is None
    assert origins.sole_version("p", at_ms=2 * SPAN_MS) == "v1"


def test_unnamed_version_is_a_version() -> None:
    origins = make_origins("", "v1")
    assert origins.history.listed_versions("p") == {"", "v1"}
    assert origins.sole_version("p", at_ms=SPAN_MS) is None
    assert make_origins("", "").sole_version("p", at_ms=SPAN_MS) == ""
