"""Turn a caller's HTTP request into work, or say what is wrong with it."""

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from pistachiohaven.components.dispatch import Key, parse_key
from pistachiohaven.components.settings import Leaf, SettingsStore
from pistachiohaven.components.web import HttpRequest
from pistachiohaven.core import Reason, Work
from pistachiohaven.helpers import stable_hash

from .const import (
    APPLICATION_HEADER,
    BYTES_PER_TOKEN,
    CHAT_PATH,
    COMPLETIONS_PATH,
    FIRST_TRY_HEADER,
    KEY_HEADER,
    MAX_KEY_CHARACTERS,
    NON_IDEMPOTENT_HEADER,
    ORGANISATION_HEADER,
    PREFIX_BYTES,
    SERVICE_DECODE_TOKENS,
    SERVICES_PREFIX,
    TIER_HEADER,
)

MODEL_PATHS = frozenset({CHAT_PATH, COMPLETIONS_PATH})


class ChatMessage(msgspec.Struct, frozen=True):
    """Hold one message of a chat; only its text is read."""

    content: str = ""


class CompletionBody(msgspec.Struct, frozen=True):
    """Hold what the scheduler reads of a completion request; the rest passes by."""

    stream: bool = False
    max_tokens: int | None = None
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()

    def text(self) -> str:
        """Return the prompt as one text."""
        return self.prompt or "\n".join(item.content for item in self.messages)


@dataclass(frozen=True, slots=True, kw_only=True)
class Mistake:
    """Say what is wrong with a request that is refused at the door."""

    reason: Reason
    message: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Intake:
    """Hold one accepted request of a caller."""

    work: Work
    leaf: Leaf
    key: Key | None
    path: str
    content_type: str
    body: bytes
    stream: bool
    first_try: bool
    received_wall_ms: int


def leaf_path(request: HttpRequest) -> str:
    """Return the path of the leaf that the headers name."""
    names = (ORGANISATION_HEADER, APPLICATION_HEADER, TIER_HEADER)
    return "/".join(request.headers.get(name, "") for name in names)


def find_leaf(request: HttpRequest, store: SettingsStore) -> Result[Leaf, Mistake]:
    """Return the settings leaf of a request."""
    if store.tree is None:
        return Err(Mistake(reason=Reason.NO_SETTINGS, message="no settings yet"))
    path = leaf_path(request)
    leaf = store.leaf(path)
    if leaf is None:
        message = f"no such organisation, application and tier: {path}"
        return Err(Mistake(reason=Reason.UNKNOWN_LEAF, message=message))
    return Ok(leaf)


def find_key(request: HttpRequest) -> Result[Key | None, Mistake]:
    """Return the idempotency key of a request, if it carries one."""
    text = request.headers.get(KEY_HEADER)
    if text is None:
        return Ok(None)
    if len(text) > MAX_KEY_CHARACTERS:
        message = f"the key is longer than {MAX_KEY_CHARACTERS} characters"
        return Err(Mistake(reason=Reason.BAD_REQUEST, message=message))
    parsed = parse_key(text)
    if isinstance(parsed, Ok):
        return Ok(parsed.ok_value)
    message = "the key is neither a UUIDv7 nor a ticket from /v1/tickets"
    return Err(Mistake(reason=parsed.err_value, message=message))


def take_in(
    request: HttpRequest,
    body: bytes,
    *,
    leaf: Leaf,
    key: Key | None,
    request_id: str,
    wall_ms: int,
) -> Result[Intake, Mistake]:
    """Return a caller's request as work of its leaf."""
    if len(body) > leaf.max_body_bytes:
        message = f"the body is larger than {leaf.max_body_bytes} bytes"
        return Err(Mistake(reason=Reason.BODY_TOO_LARGE, message=message))
    completion = CompletionBody()
    if request.path in MODEL_PATHS:
        try:
            completion = msgspec.json.decode(body, type=CompletionBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return Err(Mistake(reason=Reason.BAD_REQUEST, message=str(error)))
    work = _work(request, completion, leaf=leaf, key=key, request_id=request_id)
    return Ok(
        Intake(
            work=work,
            leaf=leaf,
            key=key,
            path=_target_path(request.path),
            content_type=request.headers.get("content-type", "application/json"),
            body=body,
            stream=completion.stream,
            first_try=_is_set(request, FIRST_TRY_HEADER),
            received_wall_ms=wall_ms,
        )
    )


def _work(
    request: HttpRequest,
    completion: CompletionBody,
    *,
    leaf: Leaf,
    key: Key | None,
    request_id: str,
) -> Work:
    text = completion.text()
    model = request.path in MODEL_PATHS
    wanted = completion.max_tokens or leaf.max_tokens
    return Work(
        request_id=request_id,
        organisation=leaf.path.split("/", 1)[0],
        rank=leaf.rank,
        weight=leaf.weight,
        pool=leaf.pool,
        prefill_tokens=max(len(text) // BYTES_PER_TOKEN, 1) if model else 0,
        decode_tokens=(
            min(max(wanted, 1), leaf.max_tokens) if model else SERVICE_DECODE_TOKENS
        ),
        idempotent=not _is_set(request, NON_IDEMPOTENT_HEADER),
        max_queue_ms=leaf.max_queue_ms,
        first_token_ms=leaf.first_token_ms,
        prefix=_prefix(leaf, text) if model else "",
        key="" if key is None else key.text,
    )


def _prefix(leaf: Leaf, text: str) -> str:
    """Return the name of a prompt's cacheable prefix within its pool."""
    if len(text) < PREFIX_BYTES:
        return ""
    return f"{stable_hash(leaf.pool, text[:PREFIX_BYTES]):016x}"


def _target_path(path: str) -> str:
    """Return the path a target is called by."""
    if path.startswith(SERVICES_PREFIX):
        return "/" + path.removeprefix(SERVICES_PREFIX)
    return path


def _is_set(request: HttpRequest, name: str) -> bool:
    return request.headers.get(name, "").lower() in ("1", "true", "yes")
