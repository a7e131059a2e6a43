"""Question to a gateway: where would a request go now, and why."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import msgspec

from pistachiohaven.exceptions import SettingsError

from ._fetch import fetch

OK = 200

_COLUMNS = (
    ("target", "target"),
    ("data_centre", "data centre"),
    ("version", "version"),
    ("load", "running"),
    ("expected_ms", "expected"),
    ("first_event_ms", "first event"),
    ("failed_share", "failed"),
    ("peer_report_age_ms", "peers' age"),
    ("measured_age_ms", "own age"),
    ("against", "against it"),
)


def fetch_where(url: str, question: Mapping[str, object | None]) -> dict[str, Any]:
    """Return the answer of the gateway at `url`; values that are None aren't sent.

    Raises SettingsError if there is no answer, or if the gateway knows no such route,
    organisation or key, or rejects a value.
    """
    query = urlencode({name: v for name, v in question.items() if v is not None})
    response = fetch(url, f"/where?{query}")
    try:
        content: dict[str, Any] = msgspec.json.decode(response.content, type=dict)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{url}: not an answer of a gateway: {error}") from error
    if response.status != OK:
        detail = content.get("detail")
        text = f"{content.get('code')}{f': {detail}' if detail else ''}"
        raise SettingsError(f"{url}: {response.status} {text}")
    return content


def where_json(answer: Mapping[str, Any]) -> str:
    """Return the answer as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(answer), indent=2).decode() + "\n"


def where_text(answer: Mapping[str, Any]) -> str:
    """Return the answer for people; times are in milliseconds."""
    lines = [
        f"route {answer['route']} ({answer['kind']}), rank {answer['rank']},"
        f" organisation {answer['organisation'] or '-'}, regions"
        f" {', '.join(answer['regions'] or ()) or '-'}",
        _quota_line(answer["quota"]),
        f"configuration {answer['config_version']}; age in ms:"
        f" {_or_dash(answer['config_age_ms'])}, store's"
        f" {_or_dash(answer['store_age_ms'])}, peers' usage"
        f" {answer['quota_reports_age_ms']}",
    ]
    refused = answer["refused"]
    if refused:
        detail = f" ({refused['detail']})" if refused["detail"] else ""
        lines.append(
            f"REFUSED: {refused['reason']}{detail},"
            f" retry after {refused['retry_after_ms']} ms; otherwise:"
        )
    for pool in answer["pools"]:
        lines += ["", *_pool_lines(pool)]
    return "\n".join(lines) + "\n"


def _quota_line(quota: Mapping[str, Any] | None) -> str:
    if quota is None:
        return "quota: no limit"
    return (
        f"quota: {quota['available_tokens']} of {quota['limit_tokens']} tokens left,"
        f" costs {quota['cost_tokens']}; peers without reports:"
        f" {quota['stale_peers'] + quota['unknown_peers']}"
    )


def _pool_lines(pool: Mapping[str, Any]) -> list[str]:
    """Return the lines about one pool, with a table of its targets."""
    return [
        f"pool {pool['pool']} ({pool['share']:.0%}): {_outcome(pool)}",
        f"  waiting: {pool['waiting']}, more urgent at peers:"
        f" {pool['peer_requests_ahead']} (age {_or_dash(pool['peer_queues_age_ms'])}"
        f" ms), expected wait {pool['expected_wait_ms']} of at most"
        f" {pool['max_wait_ms']} ms",
        *_table(pool["candidates"]),
    ]


def _outcome(pool: Mapping[str, Any]) -> str:
    if pool["outcome"] == "placed":
        slot = " in a reserved slot" if pool["has_reserved_slot"] else ""
        return f"to {pool['target']}{slot}, takes {pool['expected_ms']} ms"
    if pool["outcome"] == "refused":
        return f"REFUSED: {pool['reason']}, retry after {pool['retry_after_ms']} ms"
    return f"waits at place {pool['place']}"


def _table(candidates: list[dict[str, Any]]) -> list[str]:
    """Return the candidates as an aligned table."""
    rows = [[title for _, title in _COLUMNS]]
    for each in candidates:
        fields = {
            **each,
            "load": f"{each['running']}/{each['slots']}",
            "against": ", ".join(each["objections"]),
        }
        rows.append([_or_dash(fields[name]) for name, _ in _COLUMNS])
    widths = [max(len(row[column]) for row in rows) for column in range(len(_COLUMNS))]
    return ["  " + "  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]


def _or_dash(value: object) -> str:
    return "-" if value in (None, "") else str(value)
