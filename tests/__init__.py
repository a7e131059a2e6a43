"""Test the package; the paths mirror its own."""
