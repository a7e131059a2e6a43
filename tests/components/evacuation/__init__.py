"""Tests of the evacuation of data centres."""
