"""Parser of YAML settings files that reports the line and key of every issue."""

from typing import TypeAlias, TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from ._models import ValidationIssue

Location: TypeAlias = tuple[str | int, ...]
ModelT = TypeVar("ModelT", bound=BaseModel)


def _record_lines(
    node: yaml.Node, location: Location, lines: dict[Location, int]
) -> None:
    """Record the line of `node` and of all its descendants."""
    lines.setdefault(location, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            child_location = (*location, str(key.value))
            lines[child_location] = key.start_mark.line + 1
            _record_lines(value, child_location, lines)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _record_lines(value, (*location, index), lines)


def _duplicate_key_issues(node: yaml.Node) -> list[ValidationIssue]:
    """Return an issue for each repetition of a key within a mapping.

    The YAML loader itself would silently use the last value.
    """
    issues: list[ValidationIssue] = []
    if isinstance(node, yaml.SequenceNode):
        for value in node.value:
            issues += _duplicate_key_issues(value)
    if not isinstance(node, yaml.MappingNode):
        return issues
    seen_names: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        if name in seen_names:
            line = key.start_mark.line + 1
            issues.append(ValidationIssue(line=line, key=name, reason="duplicate key"))
        seen_names.add(name)
        issues += _duplicate_key_issues(value)
    return issues


def _alias_issues(text: str) -> list[ValidationIssue]:
    """Return an issue for each alias.

    Nested aliases could expand a small file without limit.
    """
    return [
        ValidationIssue(
            line=token.start_mark.line + 1,
            key=f"*{token.value}",
            reason="aliases are not allowed in a settings file",
        )
        for token in yaml.scan(text, Loader=yaml.SafeLoader)
        if isinstance(token, yaml.AliasToken)
    ]


def _find_line(location: Location, lines: dict[Location, int]) -> int:
    """Return the line of `location` or of its nearest recorded ancestor."""
    while location and location not in lines:
        location = location[:-1]
    return lines.get(location, 1)


def _yaml_issue(error: yaml.YAMLError) -> ValidationIssue:
    """Return the issue for a syntax error of the YAML parser."""
    mark = getattr(error, "problem_mark", None)
    line = 1 if mark is None else mark.line + 1
    reason = getattr(error, "problem", None) or "invalid YAML"
    return ValidationIssue(line=line, key="(document)", reason=str(reason))


def parse_yaml(text: str, model: type[ModelT]) -> Result[ModelT, list[ValidationIssue]]:
    """Return `text` validated by `model`, or all issues found."""
    try:
        node = _compose_document(text)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err([_yaml_issue(error)])
    except (ValueError, RecursionError) as error:
        return Err([ValidationIssue(line=1, key="(document)", reason=str(error))])
    if isinstance(node, list):
        return Err(node)
    lines: dict[Location, int] = {}
    _record_lines(node, (), lines)
    try:
        return Ok(model.model_validate(data))
    except ValidationError as error:
        return Err([_model_issue(item, lines) for item in error.errors()])


def _compose_document(text: str) -> yaml.Node | list[ValidationIssue]:
    """Return the root node of the document, or issues if it is malformed.

    A malformed document is empty, has aliases or repeats a key.
    """
    alias_issues = _alias_issues(text)
    if alias_issues:
        return alias_issues
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        return [ValidationIssue(line=1, key="(document)", reason="the file is empty")]
    return _duplicate_key_issues(node) or node


def _model_issue(item: object, lines: dict[Location, int]) -> ValidationIssue:
    """Return the issue, with its line, for one pydantic error."""
    assert isinstance(item, dict)
    location: Location = tuple(item["loc"])
    key = ".".join(str(part) for part in location) or "(document)"
    return ValidationIssue(
        line=_find_line(location, lines), key=key, reason=str(item["msg"])
    )
