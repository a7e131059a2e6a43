"""Test the settings of hedging."""

from pathlib import Path

import pytest

from pistachiohaven.config import GatewaySettings, load
from pistachiohaven.exceptions import SettingsError

EXAMPLE = Path("examples/gateway/gateway-1.yaml")


def test_hedging_is_off_by_default() -> None:
    assert load(str(EXAMPLE), GatewaySettings).hedge_ratio == 0.0


@pytest.mark.parametrize(
    "line",
    [
        "hedge_ratio: 1.5",
        "hedge_percentile: 40",
        "hedge_min_delay_ms: 0",
        "hedge_window_s: often",
    ],
)
def test_invalid_settings_are_located(line: str, tmp_path: Path) -> None:
    path = tmp_path / "gateway.yaml"
    text = EXAMPLE.read_text().rstrip("\n")
    path.write_text(f"{text}\n{line}\n")
    key = line.partition(":")[0]
    with pytest.raises(SettingsError) as error:
        load(str(path), GatewaySettings)
    assert f"{path}:{text.count(chr(10)) + 2}: {key}: " in str(error.value)
