"""Components of the scheduler, one package each."""
