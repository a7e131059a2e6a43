"""Test this part."""
