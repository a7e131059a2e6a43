"""Send seeded load to real entries and check every answer."""

from ._report import LoadReport
from ._run import run_load

__all__ = ["LoadReport", "run_load"]
