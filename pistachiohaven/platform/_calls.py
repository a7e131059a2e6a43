"""Decoding and encoding of the heads of requests and responses."""

import math
import re
from dataclasses import dataclass
from enum import StrEnum
from itertools import islice

from result import Err, Ok, Result

from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import parse_whole

from . import const as wire

Headers = list[tuple[bytes, bytes]]


class CallHeadError(StrEnum):
    """Reason why the head of a request is rejected."""

    NO_HOST = "no_host"
    """The Host header is missing."""

    TWO_FRAMINGS = "two_framings"
    """Both Content-Length and Transfer-Encoding are present."""

    REPEATED_HEADER = "repeated_header"
    """A header that may occur only once is repeated."""

    BAD_NUMBER = "bad_number"
    """A number in a header could not be parsed."""

    NO_ID = "no_id"
    """The attempt id is missing or empty."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """Values that the scheduler uses from the head of a request.

    `remaining_ms` is the time in which the caller needs the response, in milliseconds
    from the arrival of the request. `expected_output_tokens` is a hint of the caller.
    `prompt_parts` are the parts of the prompt in order, as (id, tokens); the last one
    belongs to this session only. `last_event_id` is that of the last event that the
    caller has, and `resumes` the id of the attempt that brought the first one. Without
    token counts in the head, `has_token_counts` is False, and `prompt_tokens` and
    `max_output_tokens` are 0.
    """

    attempt_id: str
    host: str
    api_key: str | None
    remaining_ms: int | None
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    prompt_parts: tuple[tuple[str, int], ...]
    last_event_id: int | None
    resumes: str | None
    has_token_counts: bool


_UNREPEATABLE_HEADERS = frozenset(
    {
        b"host",
        wire.ATTEMPT_ID,
        wire.CREDENTIAL,
        wire.DEADLINE_MS,
        wire.TOKEN_COUNTS,
        b"content-length",
        b"transfer-encoding",
    }
)


def decode_call(headers: Headers) -> Result[CallHead, CallHeadError]:
    """Decode the head of a caller's request; header names are lower case."""
    header_values: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in header_values and name in _UNREPEATABLE_HEADERS:
            return Err(CallHeadError.REPEATED_HEADER)
        header_values[name] = value
    if b"content-length" in header_values and b"transfer-encoding" in header_values:
        return Err(CallHeadError.TWO_FRAMINGS)
    if b"host" not in header_values:
        return Err(CallHeadError.NO_HOST)
    if not header_values.get(wire.ATTEMPT_ID):
        return Err(CallHeadError.NO_ID)
    try:
        return Ok(_parse_head(header_values))
    except ValueError:
        return Err(CallHeadError.BAD_NUMBER)


def _parse_head(header_values: dict[bytes, bytes]) -> CallHead:
    """Return the head; raise ValueError if a number is invalid."""
    token_counts = header_values.get(wire.TOKEN_COUNTS)
    prompt, output = (
        (_parse_tokens(part) for part in token_counts.split(b","))
        if token_counts
        else (0, 0)
    )
    deadline = header_values.get(wire.DEADLINE_MS)
    length_hint = header_values.get(wire.LENGTH_HINT)
    event_id_value = header_values.get(wire.LAST_EVENT_ID)
    api_key = header_values.get(wire.CREDENTIAL)
    resumes = header_values.get(wire.RESUMES)
    return CallHead(
        attempt_id=header_values[wire.ATTEMPT_ID].decode("latin-1"),
        host=header_values[b"host"].decode("latin-1"),
        api_key=None if api_key is None else api_key.decode("latin-1"),
        remaining_ms=None if deadline is None else _parse_number(deadline),
        prompt_tokens=prompt,
        max_output_tokens=output,
        expected_output_tokens=None
        if length_hint is None
        else _parse_number(length_hint),
        prompt_parts=_parse_prompt_parts(header_values.get(wire.PROMPT_PARTS, b"")),
        last_event_id=parse_whole(event_id_value) if event_id_value else None,
        resumes=resumes.decode("latin-1") if resumes else None,
        has_token_counts=token_counts is not None,
    )


def encode_call(head: CallHead) -> Headers:
    """Return the headers of a caller's request that `decode_call` reads as `head`.

    Raises UnicodeEncodeError for text with characters that a header can't have.
    """
    parts = ",".join(f"{part}:{tokens}" for part, tokens in head.prompt_parts)
    counts = f"{head.prompt_tokens},{head.max_output_tokens}"
    values = {
        b"host": head.host,
        wire.ATTEMPT_ID: head.attempt_id,
        wire.CREDENTIAL: head.api_key,
        wire.DEADLINE_MS: head.remaining_ms,
        wire.TOKEN_COUNTS: counts if head.has_token_counts else None,
        wire.LENGTH_HINT: head.expected_output_tokens,
        wire.PROMPT_PARTS: parts or None,
        wire.LAST_EVENT_ID: head.last_event_id,
        wire.RESUMES: head.resumes,
    }
    return [
        (name, str(value).encode("latin-1"))
        for name, value in values.items()
        if value is not None
    ]


def _parse_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    """Return (id, tokens) of each part; raise ValueError if a number is invalid."""
    prompt_parts = []
    for part_text in value.split(b","):
        name, _, tokens = part_text.strip().partition(b":")
        if name:
            prompt_parts.append((name.decode("latin-1"), _parse_tokens(tokens)))
    return tuple(prompt_parts)


def _parse_number(text: bytes) -> int:
    """Return a number without its fraction; raise ValueError if it is invalid."""
    number = float(text)
    if not abs(number) <= wire.MAX_NUMBER:
        raise ValueError(text)
    return int(number)


def _parse_tokens(text: bytes) -> int:
    """Return a number of tokens; raise ValueError if it is invalid."""
    tokens = int(text)
    if not abs(tokens) <= wire.MAX_NUMBER:
        raise ValueError(text)
    return tokens


def encode_dispatch(
    headers: Headers,
    *,
    target_name: str,
    organisation: str | None,
    remaining_ms: int,
    body_bytes: int,
    resume_after: int | None,
) -> Headers:
    """Return the headers of a request to a target.

    Headers of the connection and those that only the system may set are replaced.
    `remaining_ms` is the time until the deadline. `resume_after` is the id of
    the last event that the caller has, None if it has none.
    """
    removed_names = (
        wire.SYSTEM_HEADERS
        | wire.CONNECTION_HEADERS
        | _connection_specific_headers(headers)
    )
    kept_headers = [
        (name, value) for name, value in headers if name not in removed_names
    ]
    if resume_after is not None:
        kept_headers = [
            (name, value) for name, value in kept_headers if name != wire.LAST_EVENT_ID
        ]
        kept_headers.append((wire.LAST_EVENT_ID, str(resume_after).encode()))
    kept_headers.append((wire.DEADLINE_MS, str(max(remaining_ms, 1)).encode()))
    kept_headers.append((wire.EXPECTED_INSTANCE, target_name.encode("latin-1")))
    if organisation is not None:
        kept_headers.append((wire.TENANT, organisation.encode("latin-1")))
    if body_bytes or _has_body(headers):
        kept_headers.append((b"content-length", str(body_bytes).encode()))
    return kept_headers


def _connection_specific_headers(headers: Headers) -> frozenset[bytes]:
    """Return the headers that a Connection header lists as specific to the connection.

    Headers that the platform or this service reads are never among them.
    """
    names = {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
    return frozenset(
        names
        - _UNREPEATABLE_HEADERS
        - {wire.PROMPT_PARTS, wire.LAST_EVENT_ID, wire.RESUMES}
    )


def _has_body(headers: Headers) -> bool:
    return any(name in {b"content-length", b"transfer-encoding"} for name, _ in headers)


def encode_refusal(*, attempt_id: str | None, retry_after_ms: int | None) -> Headers:
    """Return the headers of a response that the system generates itself."""
    headers = []
    if attempt_id is not None:
        headers.append((wire.ATTEMPT_ID, attempt_id.encode("latin-1")))
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / MS_PER_S:.3f}"
        headers.append((wire.RETRY_AFTER, seconds.encode()))
    return headers


def never_ran(status: int, headers: Headers) -> bool:
    """Return True if a target states that it did not run the request."""
    if status == wire.MISDIRECTED:
        return True
    return any(name == wire.NOT_EXECUTED for name, _ in headers)


def find_attempt_id(headers: Headers) -> str | None:
    """Return the attempt id of a request or response, or None."""
    for name, value in headers:
        if name.lower() == wire.ATTEMPT_ID:
            return value.decode("latin-1")
    return None


_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def find_response(content: bytes) -> int | None:
    """Return where the head of a target's response begins within `content`, or None.

    Only the first `MAX_STATUS_LINES` status lines are looked at.
    """
    for match in islice(_STATUS_LINE.finditer(content), wire.MAX_STATUS_LINES):
        begin = match.start()
        head = content[begin : begin + wire.MAX_INNER_HEAD_BYTES].lower()
        if wire.ATTEMPT_ID + b":" in head.partition(b"\r\n\r\n")[0]:
            return begin
    return None


def decode_leaving(headers: Headers) -> bool:
    """Return True if the target that responds says that it leaves.

    The value is 1; an empty one and 0 say nothing.
    """
    values = [value.strip() for name, value in headers if name == wire.LEAVING]
    return any(value not in {b"", b"0"} for value in values)


def decode_cold(headers: Headers) -> Result[int | None, str]:
    """Return for how many ms the target that responds stays cold, None if unnamed."""
    text = next((value for name, value in headers if name == wire.COLD_MS), None)
    if text is None:
        return Ok(None)
    try:
        remaining_ms = float(text)
    except ValueError:
        remaining_ms = math.nan
    if not 0 <= remaining_ms <= wire.MAX_NUMBER:
        return Err(f"not a time in milliseconds: {text.decode('latin-1')!r}")
    return Ok(math.ceil(remaining_ms))


def decode_pause(status: int, headers: Headers) -> Result[int | None, str]:
    """Return for how many ms the target that responds wants no requests, or None.

    Only a response with status 503 says so, in seconds. Dates are not valid.
    """
    if status != wire.UNAVAILABLE:
        return Ok(None)
    text = next((value for name, value in headers if name == wire.RETRY_AFTER), None)
    if text is None:
        return Ok(None)
    try:
        pause_ms = float(text) * MS_PER_S
    except ValueError:
        pause_ms = math.nan
    if not 0 <= pause_ms <= wire.MAX_NUMBER:
        return Err(f"not a time in seconds: {text.decode('latin-1')!r}")
    return Ok(math.ceil(pause_ms))


def decode_rate_limit(headers: Headers) -> Result[float | None, str]:
    """Return the rate limit of the target that responds, None if it names none.

    The limit is in requests per second, over all entries.
    """
    text = next((value for name, value in headers if name == wire.RATE_LIMIT), None)
    if text is None:
        return Ok(None)
    try:
        requests_per_s = float(text)
    except ValueError:
        requests_per_s = math.nan
    if not math.isfinite(requests_per_s) or requests_per_s < 0:
        return Err(f"not a rate: {text.decode('latin-1')!r}")
    return Ok(requests_per_s)


def is_stamped(headers: Headers) -> bool:
    """Return True if a response has the signature of its target."""
    return any(name == wire.STAMP and value for name, value in headers)


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a target's response that are sent to the caller."""
    removed_names = wire.CONNECTION_HEADERS - {b"content-length"}
    return [(name, value) for name, value in headers if name not in removed_names]
