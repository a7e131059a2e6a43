"""Tests of the fleet component."""
