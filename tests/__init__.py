"""Tests of the package; their paths mirror those of its modules."""
