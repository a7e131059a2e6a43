"""Request scheduler for heterogeneous model engines and services."""
