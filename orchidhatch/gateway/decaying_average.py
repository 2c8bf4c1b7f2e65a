"""An exponentially decaying average. It decides nothing."""


def decay_towards(average: float, sample: float, weight: float) -> float:
    """Return the average after one more sample, which counts with `weight` (0 to 1)."""
    return average + weight * (sample - average)
