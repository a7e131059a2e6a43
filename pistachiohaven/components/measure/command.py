"""Measurements by name, as the command line runs them."""

from collections.abc import Callable

from pistachiohaven.exceptions import SettingsError

from ._overload import measure_overload
from ._plot import plot_overload
from ._price import measure_once, measure_price
from ._routing import measure_routing
from ._spread import measure_spread
from ._table import Table

MEASUREMENTS: dict[str, Callable[..., Table]] = {
    "routing": measure_routing,
    "overload": measure_overload,
    "spread": measure_spread,
    "once": measure_once,
    "price": measure_price,
}
DEFAULT_HISTORY_COUNT = 1_000


def measure(name: str, *, seed: int, histories: int, plot: str) -> str:
    """Return the table of the measurement `name` as text.

    `histories` is the number of histories of "once" (0 for `DEFAULT_HISTORY_COUNT`),
    and `plot` the image file that "overload" writes, if it is not empty. Raises
    SettingsError if there is no such measurement.
    """
    if name not in MEASUREMENTS:
        names = ", ".join(MEASUREMENTS)
        raise SettingsError(f"no measurement called {name}: expected one of {names}")
    if name == "once":
        return measure_once(seed=seed, count=histories or DEFAULT_HISTORY_COUNT).text()
    table = MEASUREMENTS[name](seed=seed)
    if plot and name == "overload":
        plot_overload(table, plot)
    return table.text()
