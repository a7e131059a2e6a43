"""A malformed entry in the store ended the gateways that read it.

Such an entry names no target to use, and the entries after it in the same list hold.
"""

import base64
import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from pistachiohaven import platform
from pistachiohaven.components.exchange import decode_datagram
from pistachiohaven.components.fleet import StoreRecord
from pistachiohaven.components.gateway._store_watch import (
    PeerStoreRecord,
    PeerStoreResponse,
    apply_peer_response,
    decode_store_response,
)
from pistachiohaven.components.peer import decode, decode_report

from ..components.gateway.stand_ins import make_config
from ..components.gateway.test_state import make_state

VALID_ENTRY = {
    "service": "p",
    "address": "10.0.0.1:80",
    "state": "ready",
    "slots": 4,
    "born": 1_700_000_000_000,
    "coldRemainingMs": 0,
}
NESTED = b"[" * 100_000 + b"]" * 100_000
NESTED_MSGPACK = b"\x91" * 100_000 + b"\xc0"
MALFORMED_FIELDS: list[dict[str, object]] = [
    {"address": "10.0.0.1:70000"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:²"},
    {"address": "10.0.0.1:\u0668\u0660"},
    {"address": "10.0.0.1:" + "1" * 5_000},
    {"address": "999.0.0.1:80"},
    {"address": "1\u0660.0.0.1:80"},
    {"address": "10.0.0:80"},
    {"address": ""},
    {"address": ["10.0.0.1:80"]},
    {"slots": 10**18},
    {"slots": 10**30},
    {"slots": -(10**30)},
    {"slots": 1.5},
    {"born": 10**30},
    {"born": -(10**18)},
    {"born": "yesterday"},
    {"coldRemainingMs": 10**300},
    {"coldRemainingMs": "long"},
    {"state": "fine"},
    {"service": None},
]
MALFORMED_VALUES = [
    b"",
    b"\xff\xfe",
    b'"\xff"',
    b"null",
    b"[]",
    b'{"service":"p"}',
    NESTED,
    json.dumps(VALID_ENTRY).encode()[:-1] + b',"more":' + NESTED + b"}",
    json.dumps(VALID_ENTRY).encode()[:-1] + b',"coldRemainingMs":1e999}',
    *[
        json.dumps({**VALID_ENTRY, **malformed}).encode()
        for malformed in MALFORMED_FIELDS
    ],
]


def test_valid_entry_is_read() -> None:
    value = json.dumps(VALID_ENTRY).encode()
    assert isinstance(platform.decode_target("servers/i-1", value), Ok)


@pytest.mark.parametrize("value", MALFORMED_VALUES, ids=lambda value: repr(value[:60]))
def test_malformed_entry_is_an_error(value: bytes) -> None:
    assert isinstance(platform.decode_target("servers/i-1", value), Err)


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from([*VALID_ENTRY, "zone", "version"]),
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(),
            st.floats(),
            st.text("0189.:²\u0660-ae ", max_size=30),
            st.lists(st.integers(), max_size=2),
        ),
    )
)
def test_no_entry_raises(fields: dict[str, object]) -> None:
    value = json.dumps({**VALID_ENTRY, **fields}).encode("utf-8", "surrogatepass")
    platform.decode_target("servers/i-1", value)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_no_bytes_raise(value: bytes) -> None:
    platform.decode_target("servers/i-1", value)
    platform.decode_configuration(value)
    platform.decode_item(value)
    platform.decode_changes(value)
    decode_datagram(value)
    decode_store_response(value)


@pytest.mark.parametrize("value", MALFORMED_VALUES, ids=lambda value: repr(value[:60]))
@pytest.mark.parametrize("key", ["servers/i-2", "op/config", "op/evacuate/z"])
def test_malformed_entry_stops_no_later_one_and_no_revision(
    key: str, value: bytes
) -> None:
    state = make_state([0.0])
    sound = json.dumps(VALID_ENTRY).encode()
    config = json.dumps(make_config()).encode()
    state.apply_changes(
        [
            StoreRecord(key="op/config", value=config, revision=1),
            StoreRecord(key=key, value=value, revision=2),
            StoreRecord(key="servers/i-3", value=sound, revision=3),
        ],
        revision=3,
        source="store",
    )
    assert state.catalogue.revision == 3
    assert [target.name for target in state.targets.all()] == ["i-3"]
    assert state.route_table is not None


def test_malformed_record_of_a_peer_stops_no_later_one() -> None:
    state = make_state([0.0])
    sound = json.dumps(VALID_ENTRY).encode()
    body = msgspec.msgpack.encode(
        PeerStoreResponse(
            revision=3,
            changes=(
                PeerStoreRecord(key="servers/i-2", value=NESTED, revision=2),
                PeerStoreRecord(key="servers/i-3", value=sound, revision=3),
            ),
            is_full=False,
            complete_age_ms=None,
        )
    )
    decoded = decode_store_response(body)
    assert isinstance(decoded, Ok)
    apply_peer_response(state, decoded.ok_value, peer="peer", sent_ms=0)
    assert [target.name for target in state.targets.all()] == ["i-3"]


def nested_answer(value: bytes) -> bytes:
    return (
        b'{"at":5,"events":[],"items":[],"key":"k","revision":1,"more":' + value + b"}"
    )


@pytest.mark.parametrize(
    "decode",
    [
        platform.decode_item,
        platform.decode_changes,
        platform.decode_configuration,
        decode_report,
    ],
)
def test_deeply_nested_answer_is_an_error(decode: Callable[[bytes], Any]) -> None:
    result = decode(nested_answer(NESTED))
    assert result is None or isinstance(result, Err)


@pytest.mark.parametrize(
    "decode",
    [
        decode_datagram,
        decode_store_response,
        lambda content: decode(content, dict),
    ],
)
def test_deeply_nested_message_is_an_error(decode: Callable[[bytes], Any]) -> None:
    assert isinstance(decode(NESTED_MSGPACK), Err)


def test_value_of_a_malformed_item_reaches_its_decoder_only() -> None:
    """The list that holds it is read to its end."""
    malformed = base64.b64encode(NESTED).decode()
    sound = base64.b64encode(json.dumps(VALID_ENTRY).encode()).decode()
    items = [
        {"key": "servers/i-1", "revision": 4, "value": malformed},
        {"key": "servers/i-2", "revision": 5, "value": sound},
        {"key": "servers/i-3", "revision": 6, "value": "²"},
    ]
    read = platform.decode_changes(json.dumps({"events": items, "at": 6}).encode())
    assert isinstance(read, Ok)
    assert read.ok_value.revision == 6
    assert len(read.ok_value.changes) == 3


@pytest.mark.parametrize("number", ["inf", "-inf", "1e400", "1" * 5_000, "nan"])
@pytest.mark.parametrize(
    "header",
    [
        "pistachiohaven-deadline-ms",
        "pistachiohaven-length-hint",
        "pistachiohaven-token-counts",
        "pistachiohaven-prompt-prefix",
    ],
)
def test_malformed_number_of_a_caller_is_an_error(header: str, number: str) -> None:
    values = {
        "pistachiohaven-token-counts": f"{number},1",
        "pistachiohaven-prompt-prefix": f"a:{number}",
    }
    headers = [
        (b"host", b"a.example"),
        (b"pistachiohaven-attempt-id", b"1"),
        (header.encode(), values.get(header, number).encode()),
    ]
    assert isinstance(platform.decode_call(headers), Err)


@pytest.mark.parametrize("number", ["inf", "1e300", "1e400", "nan"])
def test_malformed_number_of_a_target_is_an_error(number: str) -> None:
    """It is passed on to peers, whose messages hold 64 bits."""
    headers = [(b"pistachiohaven-cold-ms", number.encode())]
    assert isinstance(platform.decode_cold(headers), Err)
    headers = [(b"retry-after", number.encode())]
    assert isinstance(platform.decode_pause(503, headers), Err)
