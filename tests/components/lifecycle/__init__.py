"""Tests of the lifecycle."""
