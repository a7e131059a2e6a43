"""Quarantine of prompt parts that crash targets."""

from pistachiohaven.components.quarantine import (
    CrashEvidence,
    CrashQuarantine,
    TargetCrash,
)
from pistachiohaven.components.quarantine.const import (
    MAX_CRASHES,
    MAX_PARTS,
    MAX_PROVEN_PARTS,
    MAX_QUARANTINE_MS,
    MAX_REPORTS,
    MIN_CRASHES,
    MIN_CRASHES_OF_PROVEN,
    PROOF_TTL_MS,
    QUARANTINE_MS,
    REPORT_AGE_MS,
    SEPARATE_AFTER_MS,
)

PART = 7
SHARED = 1


def crash(
    quarantine: CrashQuarantine,
    *,
    count: int,
    from_ms: int = 0,
    parts: tuple[int, ...] = (PART,),
) -> int:
    """Crash `count` targets one after the other; return the time of the last crash."""
    now_ms = from_ms
    for number in range(count):
        now_ms = from_ms + number * SEPARATE_AFTER_MS
        quarantine.record_crash(parts, target=now_ms, is_repeat=False, now_ms=now_ms)
    return now_ms


def is_quarantined(quarantine: CrashQuarantine, *, now_ms: int) -> bool:
    return quarantine.find([PART], now_ms=now_ms) is not None


def test_part_is_quarantined_after_separate_crashes() -> None:
    quarantine = CrashQuarantine()
    last_ms = crash(quarantine, count=MIN_CRASHES - 1)
    assert not is_quarantined(quarantine, now_ms=last_ms)
    assert not quarantine.may_repeat([PART])
    last_ms = crash(quarantine, count=1, from_ms=last_ms + SEPARATE_AFTER_MS)
    assert is_quarantined(quarantine, now_ms=last_ms + QUARANTINE_MS - 1)
    assert not is_quarantined(quarantine, now_ms=last_ms + QUARANTINE_MS)


def test_targets_that_end_at_once_accuse_no_part() -> None:
    """A fault of several targets has a cause other than one request."""
    quarantine = CrashQuarantine()
    for target in range(10):
        quarantine.record_crash([PART], target=target, is_repeat=False, now_ms=5)
    assert not is_quarantined(quarantine, now_ms=5)


def test_one_request_that_crashes_two_targets_counts_twice() -> None:
    quarantine = CrashQuarantine()
    quarantine.record_crash([PART], target=1, is_repeat=False, now_ms=0)
    assert quarantine.may_repeat([PART])
    quarantine.record_crash([PART], target=2, is_repeat=True, now_ms=50)
    assert not quarantine.may_repeat([PART])


def test_response_clears_a_part() -> None:
    quarantine = CrashQuarantine()
    last_ms = crash(quarantine, count=MIN_CRASHES)
    change = quarantine.record_proof([PART], now_ms=last_ms + 1)
    assert change.released == [PART]
    assert not is_quarantined(quarantine, now_ms=last_ms + 1)


def test_proven_part_needs_more_crashes() -> None:
    """Sound requests share it with those that crash targets."""
    quarantine = CrashQuarantine()
    quarantine.record_proof([SHARED], now_ms=0)
    last_ms = crash(quarantine, count=MIN_CRASHES, from_ms=1, parts=(SHARED, PART))
    found = quarantine.find([SHARED, PART], now_ms=last_ms)
    assert found is not None
    assert found.key == PART
    assert quarantine.find([SHARED], now_ms=last_ms) is None
    last_ms = crash(
        quarantine, count=MIN_CRASHES_OF_PROVEN, from_ms=100, parts=(SHARED,)
    )
    assert quarantine.find([SHARED], now_ms=last_ms) is not None


def test_proof_expires() -> None:
    quarantine = CrashQuarantine()
    quarantine.record_proof([PART], now_ms=0)
    last_ms = crash(quarantine, count=MIN_CRASHES, from_ms=PROOF_TTL_MS)
    assert is_quarantined(quarantine, now_ms=last_ms)


def test_one_crash_after_a_quarantine_begins_a_longer_one() -> None:
    quarantine = CrashQuarantine()
    end_ms = crash(quarantine, count=MIN_CRASHES) + QUARANTINE_MS
    assert not is_quarantined(quarantine, now_ms=end_ms)
    crash(quarantine, count=1, from_ms=end_ms)
    assert is_quarantined(quarantine, now_ms=end_ms + 2 * QUARANTINE_MS - 1)


def test_entries_combine_the_crashes_that_each_saw() -> None:
    quarantines = [CrashQuarantine() for _ in range(MIN_CRASHES)]
    now_ms = 0
    for number, quarantine in enumerate(quarantines):
        now_ms = number * SEPARATE_AFTER_MS
        quarantine.record_crash([PART], target=number, is_repeat=False, now_ms=now_ms)
    starting = CrashQuarantine()
    for quarantine in quarantines:
        for report in quarantine.reports(changed_only=True, now_ms=now_ms):
            # The clocks of two gateways have nothing in common.
            starting.apply_report(report, peer="peer", now_ms=now_ms + 10**6)
    found = starting.find([PART], now_ms=now_ms + 10**6)
    assert found is not None
    assert found.crashes == MIN_CRASHES
    assert found.source == "peer"


def test_crash_that_several_entries_saw_counts_once() -> None:
    quarantine = CrashQuarantine()
    for peer in range(MIN_CRASHES):
        report = CrashEvidence(
            key=PART,
            proven_age_ms=None,
            crashes=(TargetCrash(target=1, age_ms=peer * 1_000, is_repeat=False),),
        )
        quarantine.apply_report(report, peer=str(peer), now_ms=10_000)
    assert not is_quarantined(quarantine, now_ms=10_000)


def test_proof_of_a_peer_clears_a_part() -> None:
    quarantine = CrashQuarantine()
    last_ms = crash(quarantine, count=MIN_CRASHES)
    other = CrashQuarantine()
    other.record_proof([PART], now_ms=last_ms)
    report = other.report(PART, now_ms=last_ms)
    quarantine.apply_report(report, peer="peer", now_ms=last_ms + 1)
    assert not is_quarantined(quarantine, now_ms=last_ms + 1)


def test_flood_of_new_parts_forgets_no_quarantine_and_stays_bounded() -> None:
    """Callers choose the names of parts."""
    quarantine = CrashQuarantine()
    last_ms = crash(quarantine, count=MIN_CRASHES)
    for part in range(100, 100 + 2 * MAX_PARTS):
        quarantine.record_crash(
            [part], target=part, is_repeat=False, now_ms=last_ms + part
        )
    for part in range(10_000, 10_000 + 2 * MAX_PROVEN_PARTS):
        quarantine.record_proof([part], now_ms=last_ms + part)
    now_ms = last_ms + 1_000
    assert len(quarantine) == MAX_PARTS
    assert is_quarantined(quarantine, now_ms=now_ms)
    reports = quarantine.reports(changed_only=False, now_ms=now_ms)
    assert len(reports) == MAX_REPORTS
    assert reports[0].key == PART
    for number in range(3 * MAX_CRASHES):
        quarantine.record_crash(
            [PART], target=10**6 + number, is_repeat=False, now_ms=now_ms + number
        )
    assert len(quarantine.report(PART, now_ms=now_ms).crashes) == MAX_CRASHES


def test_old_crashes_are_forgotten() -> None:
    quarantine = CrashQuarantine()
    last_ms = crash(quarantine, count=MIN_CRASHES - 1)
    now_ms = last_ms + REPORT_AGE_MS
    assert quarantine.reports(changed_only=False, now_ms=now_ms) == []
    now_ms = last_ms + MAX_QUARANTINE_MS
    quarantine.record_crash([SHARED], target=1, is_repeat=False, now_ms=now_ms)
    assert len(quarantine) == 1


def test_ordinary_crash_adds_nothing_to_messages() -> None:
    """Longer messages are sent less often, and peers know less of each other's load."""
    quarantine = CrashQuarantine()
    quarantine.record_proof(range(10), now_ms=0)
    quarantine.record_crash(range(10), target=1, is_repeat=False, now_ms=1_000)
    for changed_only in (False, True):
        assert quarantine.reports(changed_only=changed_only, now_ms=1_000) == []
