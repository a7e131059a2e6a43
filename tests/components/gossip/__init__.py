"""Test spread."""
