"""Tests of the exchange component."""
