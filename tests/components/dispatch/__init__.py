"""Test dispatch."""
