"""Test lifecycle."""
