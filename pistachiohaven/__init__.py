"""Schedule requests across unlike engines."""
