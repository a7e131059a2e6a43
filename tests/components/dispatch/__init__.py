"""Tests of at-most-once dispatch."""
