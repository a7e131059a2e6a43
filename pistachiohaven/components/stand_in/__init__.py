"""Stand in for the platform and for targets, in tests, demos and measurements."""
