"""Load client that sends seeded calls to running entries and checks every response."""

from ._report import LoadReport
from ._run import run_load

__all__ = ["LoadReport", "run_load"]
