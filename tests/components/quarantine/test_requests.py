"""Test the quarantine of requests that come again."""

from itertools import pairwise

import pytest

from pistachiohaven.components.quarantine import (
    CrashQuarantine,
    is_request_key,
    request_key,
)
from pistachiohaven.components.quarantine.const import (
    MAX_PARTS,
    MIN_CRASHES,
    REQUEST_HOLD_MS,
    REQUEST_QUARANTINE_MS,
)

FIELDS = {
    "method": "POST",
    "host": "a.example",
    "target": b"/x?y",
    "organisation": "org",
    "body": b"body",
}
KEY = request_key(**FIELDS)  # type: ignore[arg-type]


@pytest.mark.parametrize("field", FIELDS)
def test_each_field_of_a_request_is_part_of_its_key(field: str) -> None:
    changed = FIELDS[field] + (b"z" if isinstance(FIELDS[field], bytes) else "z")  # type: ignore[operator]
    assert request_key(**{**FIELDS, field: changed}) != KEY  # type: ignore[arg-type]
    assert is_request_key(KEY)


def test_bytes_of_one_field_do_not_count_for_another() -> None:
    first = request_key(**{**FIELDS, "target": b"/a", "body": b"b"})  # type: ignore[arg-type]
    second = request_key(**{**FIELDS, "target": b"/ab", "body": b""})  # type: ignore[arg-type]
    assert first != second


def crash(quarantine: CrashQuarantine, *, key: int = KEY, times: int = 1) -> None:
    for number in range(times):
        quarantine.record_crash(
            [key], target=number + 1, is_repeat=False, now_ms=number * 300
        )


def test_a_request_is_in_quarantine_after_three_targets() -> None:
    """The targets end within 600 ms, as by a caller that repeats at once."""
    quarantine = CrashQuarantine()
    crash(quarantine, times=MIN_CRASHES - 1)
    assert quarantine.find([KEY], now_ms=1_000) is None
    crash(quarantine, times=MIN_CRASHES)
    found = quarantine.find([KEY], now_ms=1_000)
    assert found is not None
    assert found.until_ms - found.last_crash_ms == REQUEST_QUARANTINE_MS
    assert quarantine.find([KEY + 1], now_ms=1_000) is None


def test_a_complete_response_clears_a_request() -> None:
    quarantine = CrashQuarantine()
    crash(quarantine, times=MIN_CRASHES - 1)
    quarantine.record_proof([KEY], now_ms=1_000)
    assert not quarantine.has_crashes(KEY)
    quarantine.record_crash([KEY], target=9, is_repeat=False, now_ms=2_000)
    assert quarantine.find([KEY], now_ms=2_000) is None


def test_proofs_of_requests_without_crashes_are_not_kept() -> None:
    """Otherwise they would push out those of the parts that requests share."""
    quarantine = CrashQuarantine()
    quarantine.record_proof([7], now_ms=0)
    for number in range(10_000):
        quarantine.record_proof([KEY + number], now_ms=number)
    report = quarantine.report(7, now_ms=10_000)
    assert report.proven_age_ms == 10_000


def test_the_first_crash_is_passed_on_unless_the_request_is_proven() -> None:
    """All requests on a crashed target are suspects; most are sound."""
    quarantine = CrashQuarantine()
    quarantine.record_crash([KEY], target=1, is_repeat=False, now_ms=0)
    quarantine.record_crash([KEY + 1], target=1, is_repeat=False, now_ms=0)
    assert not quarantine.reports(changed_only=True, now_ms=REQUEST_HOLD_MS - 1)
    quarantine.record_proof([KEY + 1], now_ms=100)
    reports = quarantine.reports(changed_only=True, now_ms=REQUEST_HOLD_MS)
    assert [report.key for report in reports] == [KEY]


def test_three_gateways_with_one_crash_each_conclude_together() -> None:
    quarantines = [CrashQuarantine() for _ in range(MIN_CRASHES)]
    for number, quarantine in enumerate(quarantines):
        quarantine.record_crash([KEY], target=number, is_repeat=False, now_ms=0)
    for sender, receiver in pairwise(quarantines):
        for report in sender.reports(changed_only=True, now_ms=REQUEST_HOLD_MS):
            receiver.apply_report(report, peer="peer", now_ms=REQUEST_HOLD_MS)
    assert quarantines[-1].find([KEY], now_ms=REQUEST_HOLD_MS) is not None


def test_many_suspects_take_bounded_room_and_keep_the_worst() -> None:
    quarantine = CrashQuarantine()
    crash(quarantine, times=MIN_CRASHES)
    for number in range(4 * MAX_PARTS):
        quarantine.record_crash(
            [KEY + 1 + number], target=99, is_repeat=False, now_ms=1_000 + number
        )
    assert len(quarantine) <= MAX_PARTS
    assert quarantine.find([KEY], now_ms=2_000) is not None
