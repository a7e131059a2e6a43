"""Read YAML with the line of every key, so that a fault can name its place."""

from typing import TypeAlias, TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from ._models import Fault

Location: TypeAlias = tuple[str | int, ...]
ModelT = TypeVar("ModelT", bound=BaseModel)


def _lines_of(node: yaml.Node, at: Location, lines: dict[Location, int]) -> None:
    """Record the line of `node` and of every node below it."""
    lines.setdefault(at, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            below = (*at, str(key.value))
            lines[below] = key.start_mark.line + 1
            _lines_of(value, below, lines)
    if isinstance(node, yaml.SequenceNode):
        for index, value in enumerate(node.value):
            _lines_of(value, (*at, index), lines)


def _repeated_keys(node: yaml.Node) -> list[Fault]:
    """Return a fault for each key that a mapping holds twice."""
    faults: list[Fault] = []
    if isinstance(node, yaml.SequenceNode):
        for value in node.value:
            faults += _repeated_keys(value)
    if not isinstance(node, yaml.MappingNode):
        return faults
    seen: set[str] = set()
    for key, value in node.value:
        name = str(key.value)
        if name in seen:
            line = key.start_mark.line + 1
            faults.append(Fault(line=line, key=name, reason="key stands twice"))
        seen.add(name)
        faults += _repeated_keys(value)
    return faults


def _aliases(text: str) -> list[Fault]:
    """Return a fault for each alias: they can nest without bound."""
    return [
        Fault(
            line=token.start_mark.line + 1,
            key=f"*{token.value}",
            reason="aliases are not taken in a settings file",
        )
        for token in yaml.scan(text, Loader=yaml.SafeLoader)
        if isinstance(token, yaml.AliasToken)
    ]


def _line_of(at: Location, lines: dict[Location, int]) -> int:
    """Return the line of the deepest recorded node above `at`."""
    while at and at not in lines:
        at = at[:-1]
    return lines.get(at, 1)


def _fault_of(error: yaml.YAMLError) -> Fault:
    """Turn a syntax error of the YAML reader into a fault."""
    mark = getattr(error, "problem_mark", None)
    line = 1 if mark is None else mark.line + 1
    reason = getattr(error, "problem", None) or "not readable as YAML"
    return Fault(line=line, key="(document)", reason=str(reason))


def parse_yaml(text: str, model: type[ModelT]) -> Result[ModelT, list[Fault]]:
    """Check `text` against `model`; every fault names its line and key."""
    try:
        node = _compose(text)
        data = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err([_fault_of(error)])
    except (ValueError, RecursionError) as error:
        return Err([Fault(line=1, key="(document)", reason=str(error))])
    if isinstance(node, list):
        return Err(node)
    lines: dict[Location, int] = {}
    _lines_of(node, (), lines)
    try:
        return Ok(model.model_validate(data))
    except ValidationError as error:
        return Err([_validation_fault(item, lines) for item in error.errors()])


def _compose(text: str) -> yaml.Node | list[Fault]:
    """Return the document's node, or what is wrong with its form."""
    aliases = _aliases(text)
    if aliases:
        return aliases
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        return [Fault(line=1, key="(document)", reason="the file is empty")]
    return _repeated_keys(node) or node


def _validation_fault(item: object, lines: dict[Location, int]) -> Fault:
    """Turn one pydantic error into a fault with its line."""
    assert isinstance(item, dict)
    at: Location = tuple(item["loc"])
    key = ".".join(str(part) for part in at) or "(document)"
    return Fault(line=_line_of(at, lines), key=key, reason=str(item["msg"]))
