"""Test sidecar."""
