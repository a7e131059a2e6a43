"""Tests of the memory component."""
