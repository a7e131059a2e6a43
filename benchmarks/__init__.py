"""Benchmarks of processor time and memory."""
