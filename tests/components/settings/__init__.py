"""Tests of the settings tree."""
