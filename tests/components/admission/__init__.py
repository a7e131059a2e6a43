"""Test admission."""
