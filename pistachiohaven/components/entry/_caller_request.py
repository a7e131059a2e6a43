"""Validation of callers' HTTP requests and their conversion to work."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.dispatch import Key, parse_key
from pistachiohaven.components.settings import Leaf, SettingsStore
from pistachiohaven.components.web import HttpRequest
from pistachiohaven.core import Reason, Work
from pistachiohaven.helpers import decode_json, stable_hash

from .const import (
    APPLICATION_HEADER,
    CHARACTERS_PER_TOKEN,
    CHAT_PATH,
    COMPLETIONS_PATH,
    FIRST_TRY_HEADER,
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    NON_IDEMPOTENT_HEADER,
    ORGANISATION_HEADER,
    PREFIX_CHARACTERS,
    SERVICE_CALL_TOKENS,
    SERVICES_PREFIX,
    TIER_HEADER,
)

MODEL_PATHS = frozenset({CHAT_PATH, COMPLETIONS_PATH})


class ChatMessage(msgspec.Struct, frozen=True):
    """Message of a chat; only its text is decoded."""

    content: str = ""


class CompletionBody(msgspec.Struct, frozen=True):
    """Fields of a completion request that the scheduler reads.

    Other fields are ignored here; the target receives the body unchanged.
    """

    stream: bool = False
    max_tokens: int | None = None
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()

    def text(self) -> str:
        """Return the prompt, or the texts of all chat messages, as one text."""
        return self.prompt or "\n".join(item.content for item in self.messages)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestError:
    """Reason for refusing a request on arrival, with a message for the caller."""

    reason: Reason
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Valid request of a caller.

    `path` is the path at the target; `received_wall_ms` is the wall time of arrival;
    `is_first_try` is True if the caller declares that no earlier try used the same key.
    """

    work: Work
    leaf: Leaf
    key: Key | None
    path: str
    content_type: str
    body: bytes
    stream: bool
    is_first_try: bool
    received_wall_ms: int


def requested_leaf_path(request: HttpRequest) -> str:
    """Return the path of the settings leaf that the headers name."""
    names = (ORGANISATION_HEADER, APPLICATION_HEADER, TIER_HEADER)
    return "/".join(request.headers.get(name, "") for name in names)


def find_leaf(request: HttpRequest, store: SettingsStore) -> Result[Leaf, RequestError]:
    """Return the settings leaf of a request.

    Returns an error without any settings or without such a leaf.
    """
    if store.tree is None:
        return Err(RequestError(reason=Reason.NO_SETTINGS, message="no settings yet"))
    path = requested_leaf_path(request)
    leaf = store.leaf(path)
    if leaf is None:
        message = f"no such organisation, application and tier: {path}"
        return Err(RequestError(reason=Reason.UNKNOWN_LEAF, message=message))
    return Ok(leaf)


def find_key(request: HttpRequest) -> Result[Key | None, RequestError]:
    """Return the idempotency key of a request, None without one, or an error."""
    text = request.headers.get(KEY_HEADER)
    if text is None:
        return Ok(None)
    if len(text) > MAX_KEY_CHARACTERS:
        message = f"the key is longer than {MAX_KEY_CHARACTERS} characters"
        return Err(RequestError(reason=Reason.BAD_REQUEST, message=message))
    parsed = parse_key(text)
    if isinstance(parsed, Ok):
        return Ok(parsed.ok_value)
    message = "the key is neither a UUIDv7 nor a ticket from /v1/tickets"
    return Err(RequestError(reason=parsed.err_value, message=message))


def parse_request(
    request: HttpRequest,
    body: bytes,
    *,
    leaf: Leaf,
    key: Key | None,
    request_id: str,
    wall_ms: int,
) -> Result[CallerRequest, RequestError]:
    """Return the validated request, or an error.

    `leaf` supplies the limits and defaults of the request.
    """
    if len(body) > leaf.max_body_bytes:
        message = f"the body is larger than {leaf.max_body_bytes} bytes"
        return Err(RequestError(reason=Reason.BODY_TOO_LARGE, message=message))
    completion = CompletionBody()
    if request.path in MODEL_PATHS:
        decoded = decode_json(body, CompletionBody)
        if isinstance(decoded, Err):
            return Err(
                RequestError(reason=Reason.BAD_REQUEST, message=decoded.err_value)
            )
        completion = decoded.ok_value
    work = _make_work(request, completion, leaf=leaf, key=key, request_id=request_id)
    return Ok(
        CallerRequest(
            work=work,
            leaf=leaf,
            key=key,
            path=_target_path(request.path),
            content_type=request.headers.get("content-type", "application/json"),
            body=body,
            stream=completion.stream,
            is_first_try=_is_header_true(request, FIRST_TRY_HEADER),
            received_wall_ms=wall_ms,
        )
    )


def _make_work(
    request: HttpRequest,
    completion: CompletionBody,
    *,
    leaf: Leaf,
    key: Key | None,
    request_id: str,
) -> Work:
    text = completion.text()
    is_model_call = request.path in MODEL_PATHS
    requested_max_tokens = completion.max_tokens or leaf.max_tokens
    return Work(
        request_id=request_id,
        organisation=leaf.path.split("/", 1)[0],
        rank=leaf.rank,
        weight=leaf.weight,
        pool=leaf.pool,
        prefill_tokens=(
            max(len(text) // CHARACTERS_PER_TOKEN, 1) if is_model_call else 0
        ),
        decode_tokens=(
            min(max(requested_max_tokens, 1), leaf.max_tokens)
            if is_model_call
            else SERVICE_CALL_TOKENS
        ),
        idempotent=not _is_header_true(request, NON_IDEMPOTENT_HEADER),
        max_queue_ms=leaf.max_queue_ms,
        first_token_ms=leaf.first_token_ms,
        prefix=_prefix_id(leaf, text) if is_model_call else "",
        key="" if key is None else key.text,
    )


def _prefix_id(leaf: Leaf, text: str) -> str:
    """Return an id of the cacheable prefix of a prompt within its pool.

    Returns an empty string for a prompt of fewer than PREFIX_CHARACTERS characters.
    """
    if len(text) < PREFIX_CHARACTERS:
        return ""
    return f"{stable_hash(leaf.pool, text[:PREFIX_CHARACTERS]):016x}"


def _target_path(path: str) -> str:
    """Return the path at the target for a path at the entry."""
    if path.startswith(SERVICES_PREFIX):
        return "/" + path.removeprefix(SERVICES_PREFIX)
    return path


def _is_header_true(request: HttpRequest, name: str) -> bool:
    return request.headers.get(name, "").lower() in ("1", "true", "yes")
