"""Tests of the quota component."""
