"""Test cli."""
