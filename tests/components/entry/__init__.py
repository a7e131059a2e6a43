"""Test entry."""
