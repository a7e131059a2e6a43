"""Measurements of the core's decisions, with fakes and a virtual clock."""
