"""Test the commands that validate and print settings, and the help text."""

import socket
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
    valid, invalid = tmp_path / "good.yaml", tmp_path / "bad.yaml"
    valid.write_text(ENTRY)
    invalid.write_text(ENTRY.replace("127.0.0.1:7000", "localhost"))
    with pytest.raises(SystemExit) as exit_info:
        Commands().check(str(valid), str(invalid), str(tmp_path / "none.yaml"))
    assert exit_info.value.code == 1
    captured = capsys.readouterr()
    assert "entry-1" in captured.out
    assert f"{invalid}:4: listen: " in captured.err
    assert "none.yaml:1: (file): " in captured.err


def test_example_settings_are_valid(capsys: pytest.CaptureFixture[str]) -> None:
    examples = Path("examples")
    files = [
        *examples.glob("*/tree.yaml"),
        *examples.glob("*/entry-*.yaml"),
        *examples.glob("*/sidecar-*.yaml"),
        *examples.glob("*/gateway-*.yaml"),
    ]
    Commands().check(*map(str, files))
    assert "rank=0" in capsys.readouterr().out


def test_explain_rejects_an_unknown_leaf() -> None:
    with pytest.raises(SettingsError, match="no such leaf"):
        Commands().explain("examples/demo/tree.yaml", "desk/drafts")


def test_help_lists_each_command_with_its_summary(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("PAGER", "cat")
    monkeypatch.setattr("sys.argv", ["pistachiohaven", "--help"])
    with pytest.raises(SystemExit):
        main()
    captured = capsys.readouterr()
    help_text = captured.out + captured.err
    for name, method in vars(Commands).items():
        if callable(method) and not name.startswith("_"):
            assert (
                f"     {name}\n       {(method.__doc__ or '').splitlines()[0]}"
                in help_text
            )


def test_check_validates_gateway_settings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = Path("examples/gateway/gateway-1.yaml").read_text()
    invalid = tmp_path / "bad.yaml"
    invalid.write_text(text.replace("retry_ratio: 0.2", "retry_ratio: -1"))
    with pytest.raises(SystemExit):
        Commands().check(str(invalid))
    assert "retry_ratio" in capsys.readouterr().err


def test_where_names_a_gateway_that_does_not_answer() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        pytest.raises(SettingsError, match="no response"),
    ):
        address = "{}:{}".format(*server.getsockname())
        server.close()
        Commands().where(address, host="a.example", path="/x")
