"""Test retry."""
