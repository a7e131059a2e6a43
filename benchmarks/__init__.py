"""Measure processor time and memory on this machine."""
