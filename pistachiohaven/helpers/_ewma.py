"""Exponentially weighted moving average."""


class Ewma:
    """Exponentially weighted mean; `value` is None until the first sample.

    `weight` is that of a new sample.
    """

    __slots__ = ("_weight", "value")

    def __init__(self, *, weight: float) -> None:
        self._weight = weight
        self.value: float | None = None

    def add(self, sample: float) -> float:
        """Add `sample` and return the new mean."""
        if self.value is None:
            self.value = sample
        else:
            self.value += self._weight * (sample - self.value)
        return self.value

    def get(self, default: float) -> float:
        """Return the mean, or `default` before the first sample."""
        return default if self.value is None else self.value
