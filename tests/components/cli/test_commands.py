"""Test the commands that read settings."""

from pathlib import Path

import pytest

from pistachiohaven.__main__ import main
from pistachiohaven.components.cli import Commands
from pistachiohaven.exceptions import SettingsError

ENTRY = """\
name: entry-1
data_centre: dc-1
region: west
listen: 127.0.0.1:7000
platform: 127.0.0.1:7001
"""


def test_check_names_file_line_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good, bad = tmp_path / "good.yaml", tmp_path / "bad.yaml"
    good.write_text(ENTRY)
    bad.write_text(ENTRY.replace("127.0.0.1:7000", "localhost"))
    with pytest.raises(SystemExit) as stopped:
        Commands().check(str(good), str(bad), str(tmp_path / "none.yaml"))
    assert stopped.value.code == 1
    shown = capsys.readouterr()
    assert "entry-1" in shown.out
    assert f"{bad}:4: listen: " in shown.err
    assert "none.yaml:1: (file): " in shown.err


def test_shipped_examples_are_good(capsys: pytest.CaptureFixture[str]) -> None:
    folder = Path("examples")
    files = [
        *folder.glob("*/tree.yaml"),
        *folder.glob("*/entry-*.yaml"),
        *folder.glob("*/sidecar-*.yaml"),
        *folder.glob("*/gateway-*.yaml"),
    ]
    Commands().check(*map(str, files))
    assert "rank=0" in capsys.readouterr().out


def test_explain_of_no_leaf_is_an_error() -> None:
    with pytest.raises(SettingsError, match="no such leaf"):
        Commands().explain("examples/demo/tree.yaml", "desk/drafts")


def test_help_lists_each_command_with_a_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("PAGER", "cat")
    monkeypatch.setattr("sys.argv", ["pistachiohaven", "--help"])
    with pytest.raises(SystemExit):
        main()
    shown = capsys.readouterr()
    text = shown.out + shown.err
    for name, method in vars(Commands).items():
        if callable(method) and not name.startswith("_"):
            assert (
                f"     {name}\n       {(method.__doc__ or '').splitlines()[0]}" in text
            )


def test_a_gateway_s_settings_are_checked(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = Path("examples/gateway/gateway-1.yaml").read_text()
    bad = tmp_path / "bad.yaml"
    bad.write_text(text.replace("retry_ratio: 0.2", "retry_ratio: -1"))
    with pytest.raises(SystemExit):
        Commands().check(str(bad))
    assert "retry_ratio" in capsys.readouterr().err
