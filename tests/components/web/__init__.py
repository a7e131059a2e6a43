"""Tests of the rate limits of targets."""
