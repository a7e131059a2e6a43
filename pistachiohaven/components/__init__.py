"""Hold the parts of the scheduler, one folder each."""
