"""Measure decisions on the core with small fakes and a virtual clock."""
