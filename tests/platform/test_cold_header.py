"""Time for which a target says that it stays cold."""

import pytest
from result import Err, Ok

from pistachiohaven.platform import decode_cold


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], None),
        ([(b"pistachiohaven-cold-ms", b"0")], 0),
        ([(b"pistachiohaven-cold-ms", b"1200.5")], 1_201),
    ],
)
def test_time_is_decoded(
    headers: list[tuple[bytes, bytes]], expected: int | None
) -> None:
    assert decode_cold(headers) == Ok(expected)


@pytest.mark.parametrize("value", [b"soon", b"-1", b"nan", b"inf", b""])
def test_invalid_time_is_an_error(value: bytes) -> None:
    assert isinstance(decode_cold([(b"pistachiohaven-cold-ms", value)]), Err)
