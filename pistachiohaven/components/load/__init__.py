"""Load client that sends seeded calls to running entries and checks the answers."""

from ._report import LoadReport
from ._run import run_load

__all__ = ["LoadReport", "run_load"]
