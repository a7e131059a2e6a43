"""Translate the heads of requests and answers."""

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from pistachiohaven.const import MS_PER_S

from . import const as wire

Headers = list[tuple[bytes, bytes]]


class CallHeadError(StrEnum):
    """Name what is wrong with the head of a request."""

    NO_HOST = "no_host"
    TWO_FRAMINGS = "two_framings"
    REPEATED_HEADER = "repeated_header"
    BAD_NUMBER = "bad_number"
    NO_ID = "no_id"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHead:
    """Hold what the scheduler reads from the head of a request.

    `parts` are the pieces of the prompt in order, each with its tokens; the last one
    is the session's own.
    """

    attempt_id: str
    host: str
    key: str | None
    deadline_ms: int | None
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[tuple[str, int], ...]
    last_event_id: int | None
    sized: bool


_SINGLE = frozenset(
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
    """Read the head of a caller's request; header names are lower case."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in found and name in _SINGLE:
            return Err(CallHeadError.REPEATED_HEADER)
        found[name] = value
    if b"content-length" in found and b"transfer-encoding" in found:
        return Err(CallHeadError.TWO_FRAMINGS)
    if b"host" not in found:
        return Err(CallHeadError.NO_HOST)
    if not found.get(wire.ATTEMPT_ID):
        return Err(CallHeadError.NO_ID)
    try:
        return Ok(_head(found))
    except ValueError:
        return Err(CallHeadError.BAD_NUMBER)


def _head(found: dict[bytes, bytes]) -> CallHead:
    """Return the head; ValueError if a number can't be read."""
    counts = found.get(wire.TOKEN_COUNTS)
    prompt, output = (int(part) for part in counts.split(b",")) if counts else (0, 0)
    deadline = found.get(wire.DEADLINE_MS)
    hint = found.get(wire.LENGTH_HINT)
    last = found.get(wire.LAST_EVENT_ID)
    key = found.get(wire.CREDENTIAL)
    return CallHead(
        attempt_id=found[wire.ATTEMPT_ID].decode("latin-1"),
        host=found[b"host"].decode("latin-1"),
        key=None if key is None else key.decode("latin-1"),
        deadline_ms=None if deadline is None else int(float(deadline)),
        prompt_tokens=prompt,
        max_output_tokens=output,
        expected_output_tokens=None if hint is None else int(float(hint)),
        parts=_parts(found.get(wire.PROMPT_PARTS, b"")),
        last_event_id=int(last) if last and last.isdigit() else None,
        sized=counts is not None,
    )


def _parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for piece in value.split(b","):
        name, _, tokens = piece.strip().partition(b":")
        if name:
            parts.append((name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def encode_dispatch(
    headers: Headers,
    *,
    target_name: str,
    organisation: str | None,
    left_ms: int,
    body_bytes: int,
    resume_after: int | None,
) -> Headers:
    """Return the headers of a request to a target.

    What concerns one connection or is the system's to set is replaced. `resume_after`
    is the id of the last event that the caller has.
    """
    dropped = wire.SYSTEM_HEADERS | wire.CONNECTION_HEADERS | _named(headers)
    kept = [(name, value) for name, value in headers if name not in dropped]
    if resume_after is not None:
        kept = [(name, value) for name, value in kept if name != wire.LAST_EVENT_ID]
        kept.append((wire.LAST_EVENT_ID, str(resume_after).encode()))
    kept.append((wire.DEADLINE_MS, str(max(left_ms, 1)).encode()))
    kept.append((wire.EXPECTED_INSTANCE, target_name.encode("latin-1")))
    if organisation is not None:
        kept.append((wire.TENANT, organisation.encode("latin-1")))
    if body_bytes or _has_body(headers):
        kept.append((b"content-length", str(body_bytes).encode()))
    return kept


def _named(headers: Headers) -> frozenset[bytes]:
    """Return the headers that a Connection header names as the connection's own."""
    names = {
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    }
    return frozenset(names - _SINGLE - {wire.PROMPT_PARTS, wire.LAST_EVENT_ID})


def _has_body(headers: Headers) -> bool:
    return any(name in {b"content-length", b"transfer-encoding"} for name, _ in headers)


def encode_refusal(*, attempt_id: str | None, retry_after_ms: int | None) -> Headers:
    """Return the headers of an answer that the system makes itself."""
    headers = []
    if attempt_id is not None:
        headers.append((wire.ATTEMPT_ID, attempt_id.encode("latin-1")))
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / MS_PER_S:.3f}"
        headers.append((b"retry-after", seconds.encode()))
    return headers


def never_ran(status: int, headers: Headers) -> bool:
    """Return True if a target says that it did not run the request."""
    if status == wire.MISDIRECTED:
        return True
    return any(name == wire.NOT_EXECUTED for name, _ in headers)


def find_attempt(headers: Headers) -> str | None:
    """Return the attempt that a request or answer names, if any."""
    for name, value in headers:
        if name.lower() == wire.ATTEMPT_ID:
            return value.decode("latin-1")
    return None


def is_stamped(headers: Headers) -> bool:
    """Return True if an answer bears the target's signature."""
    return any(name == wire.STAMP and value for name, value in headers)


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a target's answer that go to the caller."""
    dropped = wire.CONNECTION_HEADERS - {b"content-length"}
    return [(name, value) for name, value in headers if name not in dropped]
