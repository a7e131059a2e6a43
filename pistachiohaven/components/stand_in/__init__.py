"""Stand-ins for the platform and for targets, for tests, demos and measurements."""
