"""Commands of the command line, one method each, which fire exposes."""

import sys
from pathlib import Path

from fire.decorators import SetParseFns
from result import Err

from pistachiohaven import bootstrap
from pistachiohaven.components.settings import (
    Tree,
    explain,
    leaf_paths,
    parse_tree,
    resolve,
)
from pistachiohaven.config import (
    EntrySettings,
    GatewaySettings,
    NodeSettings,
    SidecarSettings,
    load,
)
from pistachiohaven.exceptions import SettingsError


class Commands:
    """Request scheduler for heterogeneous engines."""

    def entry(self, *, settings: str) -> None:
        """Run an entry with the settings file SETTINGS."""
        bootstrap.start_entry(settings)

    def gateway(self, *, settings: str) -> None:
        """Run a gateway, which sends directly to targets, with the file SETTINGS."""
        bootstrap.start_gateway(settings)

    def sidecar(self, *, settings: str) -> None:
        """Run a sidecar with the settings file SETTINGS."""
        bootstrap.start_sidecar(settings)

    def stand_in(self, kind: str, *, settings: str) -> None:
        """Run a stand-in: platform, engine or service."""
        bootstrap.start_stand_in(kind, settings)

    def check(self, *files: str) -> None:
        """Validate settings files and trees; print the settings or every error."""
        has_errors = False
        for file in files:
            try:
                sys.stdout.write(_validated_text(file))
            except SettingsError as error:
                sys.stderr.write(f"{error}\n")
                has_errors = True
        if has_errors:
            sys.exit(1)

    def explain(self, file: str, path: str) -> None:
        """Print the leaf PATH (organisation/application/tier) and its origins."""
        tree = _read_tree(file)
        if resolve(tree, path) is None:
            raise SettingsError(f"{file}:1: {path}: no such leaf")
        for origin in explain(tree, path):
            sys.stdout.write(f"{origin.name} = {origin.value}  from {origin.path}\n")

    def status(self, url: str) -> None:
        """Print the status of the gateway, entry or sidecar at URL (ip:port)."""
        from ._status import fetch_status  # noqa: PLC0415

        sys.stdout.write(fetch_status(url))

    @SetParseFns(str, host=str, path=str, organisation=str, key=str, parts=str)  # type: ignore[untyped-decorator]
    def where(
        self,
        url: str,
        *,
        host: str,
        path: str,
        organisation: str | None = None,
        key: str | None = None,
        prompt_tokens: int | None = None,
        max_output_tokens: int | None = None,
        expected_output_tokens: int | None = None,
        parts: str | None = None,
        as_json: bool = False,
    ) -> None:
        """Print where a request would go now, and why, without sending it.

        URL is the control address (ip:port) of a running gateway. PARTS of the prompt
        are id:tokens,id:tokens; the last one belongs to one session only.
        """
        from ._where import fetch_where, where_json, where_text  # noqa: PLC0415

        question = {
            "host": host,
            "path": path,
            "organisation": organisation,
            "key": key,
            "prompt_tokens": prompt_tokens,
            "max_output_tokens": max_output_tokens,
            "expected_output_tokens": expected_output_tokens,
            "parts": parts,
        }
        answer = fetch_where(url, question)
        sys.stdout.write(where_json(answer) if as_json else where_text(answer))

    def load(self, url: str, *, settings: str, as_json: bool = False) -> None:
        """Run the load of the settings file SETTINGS against the entries at URL."""
        from pistachiohaven.components.load import run_load  # noqa: PLC0415

        report = run_load(url, settings)
        sys.stdout.write(report.json() if as_json else report.text())
        if report.has_violations():
            sys.exit(1)

    def measure(
        self, name: str, *, seed: int = 1, histories: int = 0, plot: str = ""
    ) -> None:
        """Run one measurement on the core: routing, overload, spread, once, price."""
        from pistachiohaven.components.measure.command import (  # noqa: PLC0415
            measure,
        )

        sys.stdout.write(measure(name, seed=seed, histories=histories, plot=plot))


def _read_tree(file: str) -> Tree:
    """Return the settings tree in `file`.

    Raises SettingsError, which lists every validation error, if it is invalid.
    """
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{file}:1: (file): {error}") from error
    parsed = parse_tree(text)
    if isinstance(parsed, Err):
        errors = parsed.err_value
        raise SettingsError("\n".join(error.text(file) for error in errors))
    return parsed.ok_value


def _validated_text(file: str) -> str:
    """Return the validated settings of a process, or the leaves of a tree, as text."""
    model = _process_model(file)
    if model is not None:
        return f"{file}: {load(file, model)}\n"
    tree = _read_tree(file)
    leaves = (resolve(tree, path) for path in leaf_paths(tree))
    return "".join(f"{leaf}\n" for leaf in leaves)


def _process_model(file: str) -> type[NodeSettings] | type[GatewaySettings] | None:
    """Return the settings model that fits `file`, or None for a settings tree."""
    try:
        lines = Path(file).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        return None
    keys = {line.split(":", 1)[0] for line in lines}
    if "internal_ports" in keys:
        return GatewaySettings
    if "listen" not in keys:
        return None
    return SidecarSettings if "target" in keys else EntrySettings
