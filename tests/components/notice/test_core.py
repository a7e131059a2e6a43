"""Tests of the notices that targets leave or pause, on a virtual clock."""

import msgspec
import pytest

from pistachiohaven.components.exchange import (
    Digest,
    LeavingTargetReport,
    Member,
    Update,
    decode_datagram,
    encode_datagram,
    short_hash,
)
from pistachiohaven.components.notice import LeavingReport, TargetNotices
from pistachiohaven.components.notice.const import (
    CHANGE_REPORT_MS,
    MAX_NOTICES,
    MAX_PAUSE_MS,
    MAX_REPORTS,
    REPORT_AGE_MS,
)

TARGET = short_hash("i-0@1")


def test_first_notice_of_a_target_is_kept_with_its_time_and_source() -> None:
    notices = TargetNotices()
    notice = notices.observe_leaving(TARGET, now_ms=1_000)
    assert notice is not None
    assert (notice.said_ms, notice.source) == (1_000, "target")
    assert notices.observe_leaving(TARGET, now_ms=2_000) is None
    report = LeavingReport(target=TARGET, age_ms=5_000)
    assert notices.apply_report(report, peer="b", now_ms=2_000) is None
    assert notices.leaving_notice(TARGET) == notice
    assert notices.is_leaving(TARGET)
    assert not notices.is_leaving(short_hash("i-0@2"))


def test_notice_of_a_peer_keeps_its_age() -> None:
    notices = TargetNotices()
    report = LeavingReport(target=TARGET, age_ms=700)
    notice = notices.apply_report(report, peer="b", now_ms=1_000)
    assert notice is not None
    assert (notice.said_ms, notice.learned_ms, notice.source) == (300, 1_000, "b")
    assert notices.reports(changed_only=True, now_ms=1_100) == [
        LeavingReport(target=TARGET, age_ms=800)
    ]


def test_notice_with_a_negative_age_counts_as_new() -> None:
    notices = TargetNotices()
    report = LeavingReport(target=TARGET, age_ms=-9)
    notice = notices.apply_report(report, peer="b", now_ms=1_000)
    assert notice is not None
    assert notice.said_ms == 1_000


def test_updates_pass_new_notices_on_and_digests_all_recent_ones() -> None:
    notices = TargetNotices()
    notices.observe_leaving(TARGET, now_ms=0)
    assert notices.reports(changed_only=True, now_ms=CHANGE_REPORT_MS - 1)
    assert not notices.reports(changed_only=True, now_ms=CHANGE_REPORT_MS)
    assert notices.reports(changed_only=False, now_ms=REPORT_AGE_MS - 1)
    assert not notices.reports(changed_only=False, now_ms=REPORT_AGE_MS)
    assert notices.is_leaving(TARGET)


def test_notices_and_reports_are_bounded() -> None:
    notices = TargetNotices()
    for number in range(MAX_NOTICES + 1):
        notices.observe_leaving(number, now_ms=number)
    reports = notices.reports(changed_only=False, now_ms=MAX_NOTICES)
    assert len(reports) == MAX_REPORTS
    assert reports[0].target == MAX_NOTICES
    assert not notices.is_leaving(0)
    assert notices.is_leaving(1)


def make_update(*leaving_targets: LeavingTargetReport) -> Update:
    return Update(
        sender=1,
        sequence=2,
        leaving=False,
        revision=3,
        targets=4,
        running=b"",
        prefill=b"",
        waiting=(),
        used_tokens={},
        leaving_targets=leaving_targets,
    )


def make_digest(*leaving_targets: LeavingTargetReport) -> Digest:
    return Digest(
        sender=Member(name="a", address="10.0.0.1:1"),
        control_address="10.0.0.1:2",
        incarnation="x",
        sequence=1,
        uptime_ms=1,
        leaving=False,
        revision=1,
        members=(),
        running=(),
        waiting=(),
        used_tokens={},
        leaving_targets=leaving_targets,
    )


@pytest.mark.parametrize("missing", [1, 2])
def test_datagrams_of_processes_without_the_last_fields_are_decoded(
    missing: int,
) -> None:
    """The last fields, which are empty, are cut off."""
    for message in (make_update(), make_digest()):
        encoded = encode_datagram(message)
        assert encoded[-missing:] == b"\x90" * missing
        assert decode_datagram(shorten(encoded, missing)).ok_value == message


def shorten(encoded: bytes, count: int) -> bytes:
    """Return an encoded array without its last `count` items."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(encoded)[:-count])


def test_notice_takes_at_most_eleven_bytes() -> None:
    report = LeavingTargetReport(target=0xFFFFFFFF, age_ms=REPORT_AGE_MS)
    for make in (make_update, make_digest):
        added = len(encode_datagram(make(report))) - len(encode_datagram(make()))
        assert added <= 11


def test_pause_ends_at_its_time() -> None:
    notices = TargetNotices()
    assert notices.observe_pause(TARGET, 2_000, now_ms=100) is not None
    assert notices.paused_ms(TARGET, now_ms=100) == 2_000
    assert notices.paused_ms(TARGET, now_ms=2_099) == 1
    assert notices.paused_ms(TARGET, now_ms=2_100) == 0
    assert notices.paused_ms(short_hash("i-0@2"), now_ms=100) == 0


def test_pause_is_extended_but_not_shortened() -> None:
    notices = TargetNotices()
    notices.observe_pause(TARGET, 2_000, now_ms=0)
    assert notices.observe_pause(TARGET, 500, now_ms=1_000) is None
    assert notices.paused_ms(TARGET, now_ms=1_000) == 1_000
    assert notices.observe_pause(TARGET, 2_000, now_ms=1_000) is not None
    assert notices.paused_ms(TARGET, now_ms=1_000) == 2_000
    assert notices.observe_pause(TARGET, 0, now_ms=9_000) is None


def test_absurd_pause_is_limited() -> None:
    notices = TargetNotices()
    notices.observe_pause(TARGET, 10**12, now_ms=0)
    assert notices.paused_ms(TARGET, now_ms=0) == MAX_PAUSE_MS


def test_pause_is_not_passed_on() -> None:
    notices = TargetNotices()
    notices.observe_pause(TARGET, 2_000, now_ms=0)
    assert not notices.reports(changed_only=False, now_ms=0)
