"""Where a request would go now, and why, without sending it."""

from collections.abc import Iterator, Mapping
from urllib.parse import parse_qsl

from result import Err, Ok, Result

from pistachiohaven import platform
from pistachiohaven.components.fleet import Route, RouteTable
from pistachiohaven.components.placement import Candidate, Explanation, Refusal
from pistachiohaven.components.web import Scope, Send, send_json
from pistachiohaven.components.web.const import OK
from pistachiohaven.core import Reason

from ._admit import admit_call
from ._call import BAD_REQUEST, NOT_FOUND, Call, RequestError
from ._crashes import format_key
from ._state import GatewayState

WHERE_PATH = "/where"

_NUMBERS = ("prompt_tokens", "max_output_tokens", "expected_output_tokens")
_NAMES = frozenset({"host", "path", "organisation", "key", "parts", *_NUMBERS})

Content = dict[str, object]


async def send_where(state: GatewayState, scope: Scope, send: Send) -> None:
    """Respond to a question of an operator; nothing is charged, sent or recorded."""
    query = scope["query_string"].decode("latin-1")
    answer = answer_where(state, query, now_ms=state.clock.now_ms())
    if isinstance(answer, Err):
        error = answer.err_value
        content: Content = {"code": error.reason, "detail": error.detail}
        await send_json(send, status=error.status, content=content)
        return
    await send_json(send, status=OK, content=answer.ok_value)


def answer_where(
    state: GatewayState, query: str, *, now_ms: int
) -> Result[Content, RequestError]:
    """Return the answer to the question in `query`, or why it has none."""
    scope = _parse_query(state, query)
    if isinstance(scope, Err):
        return scope
    call = admit_call(state, scope.ok_value, split_fraction=0.0, now_ms=now_ms)
    if isinstance(call, RequestError):
        return Err(call)
    assert state.route_table is not None
    pools: list[Content] = []
    for share, fraction in _split_fractions(state.route_table, call.route):
        split_call = admit_call(
            state, scope.ok_value, split_fraction=fraction, now_ms=now_ms
        )
        assert isinstance(split_call, Call)
        explanation = state.scheduler.explain(split_call.job(), now_ms=now_ms)
        pools.append(
            {
                "pool": split_call.pool_name,
                "share": share,
                **_describe_decision(state, explanation),
            }
        )
    quota, over_quota = _check_quota(state, call, now_ms=now_ms)
    content: Content = {
        "gateway": state.settings.name,
        "route": call.route.name,
        "kind": call.route.kind,
        "organisation": call.organisation.name if call.organisation else None,
        "rank": call.rank,
        "regions": None if call.regions is None else sorted(call.regions),
        "config_version": call.config_version,
        "quota": quota,
        "refused": over_quota or _check_parts(state, call, now_ms=now_ms),
        "pools": pools,
        "config_age_ms": state.config_age_ms(),
        "store_age_ms": state.store_response_age_ms(),
        "quota_reports_age_ms": state.quota.oldest_report_age_ms(now_ms=now_ms),
    }
    return Ok(content)


# Question


def _parse_query(state: GatewayState, query: str) -> Result[Scope, RequestError]:
    """Return the request that an operator asks about as an ASGI scope."""
    fields = dict(parse_qsl(query, keep_blank_values=True))
    mistake = _find_mistake(fields)
    if mistake:
        return _bad(mistake)
    key = _find_key(state, fields)
    if isinstance(key, Err):
        return key
    expected = fields.get("expected_output_tokens")
    head = platform.CallHead(
        attempt_id="where",
        host=fields["host"],
        api_key=key.ok_value,
        remaining_ms=None,
        prompt_tokens=int(fields.get("prompt_tokens", 0)),
        max_output_tokens=int(fields.get("max_output_tokens", 0)),
        expected_output_tokens=None if expected is None else int(expected),
        prompt_parts=tuple(
            (part_id, int(tokens)) for part_id, tokens in _split_parts(fields)
        ),
        last_event_id=None,
        resumes=None,
        has_token_counts=any(name in fields for name in _NUMBERS[:2]),
    )
    path, _, path_query = fields["path"].partition("?")
    try:
        scope: Scope = {
            "method": "POST",
            "raw_path": path.encode("latin-1"),
            "query_string": path_query.encode("latin-1"),
            "headers": platform.encode_call(head),
        }
    except UnicodeEncodeError:
        return _bad("host, path, key and parts can't have such characters")
    return Ok(scope)


def _find_mistake(fields: Mapping[str, str]) -> str:
    """Return what is wrong with the question, empty if nothing is."""
    unknown = fields.keys() - _NAMES
    if unknown:
        return f"unknown parameters: {', '.join(sorted(unknown))}"
    if not fields.get("host") or not fields.get("path", "").startswith("/"):
        return "needs a host, and a path that begins with a slash"
    for name in _NUMBERS:
        if name in fields and not _is_number(fields[name]):
            return f"{name}: not a number of tokens: {fields[name]!r}"
    for part_id, tokens in _split_parts(fields):
        if not part_id or not _is_number(tokens):
            return f"parts: not id:tokens,...: {fields['parts']!r}"
    return ""


def _split_parts(fields: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return id and tokens of each part of the prompt, as texts."""
    if not fields.get("parts"):
        return []
    parts = [part.partition(":") for part in fields["parts"].split(",")]
    return [(part_id.strip(), tokens.strip()) for part_id, _, tokens in parts]


def _find_key(
    state: GatewayState, fields: Mapping[str, str]
) -> Result[str | None, RequestError]:
    """Return the API key in the question, or one of the organisation named in it."""
    name = fields.get("organisation")
    if name is None or state.route_table is None:
        return Ok(fields.get("key"))
    if "key" in fields:
        return _bad("takes an organisation or a key, not both")
    for organisation in state.route_table.config.organisations:
        if organisation.name == name:
            return Ok(min(organisation.keys, default=None))
    detail = f"no organisation {name!r} in the configuration"
    return Err(RequestError(status=NOT_FOUND, reason=Reason.UNKNOWN_KEY, detail=detail))


def _bad(detail: str) -> Err[RequestError]:
    return Err(
        RequestError(status=BAD_REQUEST, reason=Reason.BAD_REQUEST, detail=detail)
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= len(str(2**31))


def _split_fractions(table: RouteTable, route: Route) -> Iterator[tuple[float, float]]:
    """Yield the share (0 to 1) of each split of a route and a fraction that picks it.

    Splits that get no requests are left out.
    """
    total = sum(split.weight for split in route.splits)
    if total <= 0:
        yield 1.0, 0.0
        return
    before = 0
    for split in route.splits:
        if split.weight > 0:
            yield split.weight / total, (before + split.weight / 2) / total
        before += split.weight


# Answer


def _check_quota(
    state: GatewayState, call: Call, *, now_ms: int
) -> tuple[Content | None, Content | None]:
    """Return the organisation's quota and the refusal; None without either."""
    if call.organisation is None:
        return None, None
    name = call.organisation.name
    trial = state.quota.copy_account(name)
    view = trial.view(name, now_ms=now_ms)
    if view is None:
        return None, None
    quota: Content = {
        "cost_tokens": call.quota_tokens,
        "available_tokens": int(view.available_tokens),
        "limit_tokens": int(view.limit_tokens),
        "stale_peers": view.stale_peers,
        "unknown_peers": view.unknown_peers,
        "start_wait_ms": trial.start_wait_ms(now_ms=now_ms),
    }
    wait_ms = trial.charge(name, call.quota_tokens, now_ms=now_ms)
    if wait_ms is None:
        return quota, None
    return quota, {"reason": Reason.OVER_QUOTA, "retry_after_ms": wait_ms, "detail": ""}


def _check_parts(state: GatewayState, call: Call, *, now_ms: int) -> Content | None:
    """Return the refusal of a request with a part in quarantine, None without one."""
    quarantine = state.quarantine.find(call.part_hashes, now_ms=now_ms)
    if quarantine is None:
        return None
    return {
        "reason": Reason.PART_QUARANTINED,
        "retry_after_ms": quarantine.until_ms - now_ms,
        "detail": f"part {format_key(quarantine.key)}, {quarantine.crashes} crashes,"
        f" the last {now_ms - quarantine.last_crash_ms} ms ago",
    }


def _describe_decision(state: GatewayState, explanation: Explanation) -> Content:
    """Return what would happen in one pool, with its candidates."""
    decision = explanation.decision
    outcome: Content = {"outcome": "waits"}
    if isinstance(decision, Refusal):
        outcome = {
            "outcome": "refused",
            "reason": state.caller_reason(decision.reason),
            "retry_after_ms": decision.retry_after_ms,
        }
    elif decision is not None:
        outcome = {
            "outcome": "placed",
            "target": decision.target,
            "expected_ms": round(decision.expected_ms),
            "has_reserved_slot": decision.has_reserved_slot,
        }
    return {
        **outcome,
        "place": explanation.place,
        "waiting": explanation.waiting,
        "peer_requests_ahead": explanation.peer_requests_ahead,
        "peer_queues_age_ms": explanation.peer_queue_age_ms,
        "expected_wait_ms": round(explanation.expected_wait_ms),
        "max_wait_ms": round(explanation.max_wait_ms),
        "candidates": [_describe_candidate(each) for each in explanation.candidates],
    }


def _describe_candidate(candidate: Candidate) -> Content:
    return {
        "target": candidate.target,
        "data_centre": candidate.data_centre,
        "version": candidate.version,
        "objections": candidate.objections,
        "running": candidate.running,
        "own_running": candidate.own_running,
        "own_freed_slots": candidate.own_freed_slots,
        "slots": candidate.slots,
        "paused_ms": candidate.paused_ms,
        "expected_ms": round(candidate.expected_ms),
        "first_event_ms": round(candidate.expected_first_event_ms),
        "failed_share": round(candidate.failed_share, 3),
        "peer_report_age_ms": candidate.peer_report_age_ms,
        "measured_age_ms": candidate.measured_age_ms,
    }
