"""Tests of the decoding and encoding of request and response heads."""

import pytest
from result import Err, Ok, Result

from pistachiohaven.platform import (
    CallHead,
    CallHeadError,
    decode_call,
    decode_leaving,
    decode_pause,
    decode_rate_limit,
    encode_call,
    encode_dispatch,
    encode_refusal,
    find_attempt_id,
    is_stamped,
    never_ran,
    response_headers,
)

Headers = list[tuple[bytes, bytes]]

HEAD: Headers = [
    (b"host", b"a.example"),
    (b"pistachiohaven-attempt-id", b"9c41"),
    (b"pistachiohaven-token-counts", b"1460,80"),
    (b"pistachiohaven-prompt-prefix", b"5c1e:800,e440:660"),
    (b"pistachiohaven-deadline-ms", b"15000"),
    (b"pistachiohaven-credential", b"secret"),
    (b"content-length", b"3"),
]


def decoded(headers: Headers) -> CallHead:
    result = decode_call(headers)
    assert isinstance(result, Ok)
    return result.ok_value


def dispatch(headers: Headers, resume_after: int | None = None) -> dict[bytes, bytes]:
    encoded = encode_dispatch(
        headers,
        target_name="i-1",
        organisation="org",
        remaining_ms=700,
        body_bytes=3,
        resume_after=resume_after,
    )
    assert len(encoded) == len(dict(encoded))
    return dict(encoded)


def test_head_is_decoded_into_typed_fields() -> None:
    head = decoded(HEAD)
    assert (head.attempt_id, head.api_key, head.remaining_ms) == (
        "9c41",
        "secret",
        15_000,
    )
    assert (head.prompt_tokens, head.max_output_tokens) == (1_460, 80)
    assert head.prompt_parts == (("5c1e", 800), ("e440", 660))


@pytest.mark.parametrize(
    ("extra", "error"),
    [
        ((b"transfer-encoding", b"chunked"), CallHeadError.TWO_FRAMINGS),
        ((b"host", b"b.example"), CallHeadError.REPEATED_HEADER),
        ((b"pistachiohaven-attempt-id", b"2"), CallHeadError.REPEATED_HEADER),
        ((b"pistachiohaven-credential", b"2"), CallHeadError.REPEATED_HEADER),
    ],
)
def test_ambiguous_heads_are_rejected(
    extra: tuple[bytes, bytes], error: CallHeadError
) -> None:
    assert decode_call([*HEAD, extra]) == Err(error)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"pistachiohaven-token-counts", b"many"),
        (b"pistachiohaven-token-counts", b"1"),
        (b"pistachiohaven-deadline-ms", b"soon"),
        (b"pistachiohaven-prompt-prefix", b"5c1e:x"),
    ],
)
def test_invalid_numbers_are_rejected(name: bytes, value: bytes) -> None:
    headers = [(key, value if key == name else old) for key, old in HEAD]
    assert decode_call(headers) == Err(CallHeadError.BAD_NUMBER)


def test_system_headers_sent_by_a_caller_are_replaced() -> None:
    forged_headers: Headers = [
        (b"pistachiohaven-tenant-name", b"other"),
        (b"pistachiohaven-expected-instance", b"i-9"),
        (b"pistachiohaven-cache-hold", b"h"),
        (b"pistachiohaven-pin-ms", b"4000"),
        (b"pistachiohaven-kv-backup", b"10.0.0.1:1"),
        (b"kv-from", b"10.0.0.1:1/x"),
        (b"kv-fetch", b"10.0.0.1:1"),
    ]
    sent = dispatch([*HEAD, *forged_headers])
    assert sent[b"pistachiohaven-tenant-name"] == b"org"
    assert sent[b"pistachiohaven-expected-instance"] == b"i-1"
    assert sent[b"pistachiohaven-deadline-ms"] == b"700"
    for name in (b"pistachiohaven-cache-hold", b"pistachiohaven-pin-ms", b"kv-from"):
        assert name not in sent
    assert b"pistachiohaven-kv-backup" not in sent
    assert b"kv-fetch" not in sent


def test_api_key_is_not_forwarded_to_targets() -> None:
    assert b"secret" not in dispatch(HEAD).values()


def test_connection_headers_are_removed_but_request_headers_are_kept() -> None:
    extra: Headers = [
        (b"connection", b"keep-alive, x-hop, pistachiohaven-attempt-id"),
        (b"x-hop", b"1"),
        (b"x-own", b"2"),
        (b"expect", b"100-continue"),
    ]
    sent = dispatch([*HEAD, *extra])
    assert sent[b"x-own"] == b"2"
    assert sent[b"pistachiohaven-attempt-id"] == b"9c41"
    assert not {b"x-hop", b"connection", b"expect"} & set(sent)


def test_resumed_request_has_the_last_event_id_of_the_caller() -> None:
    sent = dispatch([*HEAD, (b"last-event-id", b"3")], resume_after=12)
    assert sent[b"last-event-id"] == b"12"


def test_only_a_statement_of_the_target_means_that_it_did_not_run() -> None:
    assert never_ran(503, [(b"pistachiohaven-not-executed", b"1")])
    assert never_ran(421, [])
    assert not never_ran(503, [])
    assert not never_ran(500, [(b"retry-after", b"1")])


def test_refusals_have_a_retry_after_header() -> None:
    headers = dict(encode_refusal(attempt_id="9c41", retry_after_ms=250))
    assert headers[b"retry-after"] == b"0.250"
    assert find_attempt_id(list(headers.items())) == "9c41"


def test_empty_signature_does_not_count_as_one() -> None:
    assert not is_stamped([(b"pistachiohaven-server-stamp", b"")])


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], False),
        ([(b"server-leaving", b"1")], True),
        ([(b"server-leaving", b" 1 ")], True),
        ([(b"server-leaving", b"0")], False),
        ([(b"server-leaving", b"")], False),
        ([(b"server-leaving", b"0"), (b"server-leaving", b"1")], True),
    ],
)
def test_notice_of_leaving_is_decoded(
    headers: list[tuple[bytes, bytes]], expected: bool
) -> None:
    assert decode_leaving(headers) is expected


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (503, b"2", Ok(2_000)),
        (503, b"0.25", Ok(250)),
        (503, b"0.0001", Ok(1)),
        (503, b"0", Ok(0)),
        (503, b"1e9", Ok(10**12)),
        (429, b"2", Ok(None)),
        (200, b"2", Ok(None)),
        (421, b"2", Ok(None)),
        (503, None, Ok(None)),
        (503, b"-1", Err("not a time in seconds: '-1'")),
        (503, b"", Err("not a time in seconds: ''")),
        (503, b"nan", Err("not a time in seconds: 'nan'")),
        (503, b"1e308", Err("not a time in seconds: '1e308'")),
        (
            503,
            b"Fri, 04 Dec 2026 09:00:00 GMT",
            Err("not a time in seconds: 'Fri, 04 Dec 2026 09:00:00 GMT'"),
        ),
    ],
)
def test_pause_is_decoded(
    status: int, value: bytes | None, expected: Result[int | None, str]
) -> None:
    headers = [] if value is None else [(b"retry-after", value)]
    assert decode_pause(status, headers) == expected


def test_notice_of_leaving_is_passed_on_to_the_caller() -> None:
    headers = [(b"server-leaving", b"1"), (b"retry-after", b"2")]
    assert response_headers(headers) == headers


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], Ok(None)),
        ([(b"server-limit", b"3.8")], Ok(3.8)),
        ([(b"server-limit", b"0")], Ok(0.0)),
        ([(b"server-limit", b"few")], Err("not a rate: 'few'")),
        ([(b"server-limit", b"-1")], Err("not a rate: '-1'")),
        ([(b"server-limit", b"inf")], Err("not a rate: 'inf'")),
    ],
)
def test_rate_limit_is_decoded(
    headers: list[tuple[bytes, bytes]], expected: Result[float | None, str]
) -> None:
    assert decode_rate_limit(headers) == expected


def test_named_attempt_of_a_resumed_request_is_read_and_forwarded() -> None:
    headers: Headers = [*HEAD, (b"connection", b"resumes"), (b"resumes", b"77aa")]
    head = decode_call(headers).unwrap()
    assert head.resumes == "77aa"
    assert decode_call(HEAD).unwrap().resumes is None
    assert dispatch(headers)[b"resumes"] == b"77aa"


def test_an_encoded_head_is_decoded_alike() -> None:
    head = decoded(HEAD)
    assert decoded(encode_call(head)) == head
