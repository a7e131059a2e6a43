"""Tests of the notices of targets."""
