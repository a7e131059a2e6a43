"""Tests of gossip between nodes."""
