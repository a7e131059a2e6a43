"""Test measure."""
