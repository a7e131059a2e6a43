"""Test membership."""
