"""Test components."""
