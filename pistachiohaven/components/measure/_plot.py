"""Plot of the goodput by rank against the offered load."""

from pistachiohaven.const import TIER_COUNT

from ._table import Table

FIRST_RANK_COLUMN = 1


def plot_overload(table: Table, file: str) -> None:
    """Plot the table of `measure overload` and write the image to `file`."""
    from matplotlib.figure import Figure  # noqa: PLC0415

    rows = [row for row in table.rows if row[0].replace(".", "").isdigit()]
    loads = [float(row[0]) for row in rows]
    figure = Figure(figsize=(7, 4), layout="constrained")
    axes = figure.subplots()
    for rank in range(TIER_COUNT):
        good = [int(row[FIRST_RANK_COLUMN + rank]) for row in rows]
        axes.plot(loads, good, marker="o", label=f"rank {rank}")
    axes.set_xscale("log")
    axes.set_xlabel("offered load, multiples of capacity")
    axes.set_ylabel("good answers in 30 s")
    axes.legend()
    figure.savefig(file)
