"""An exponentially decaying average. Has no decision logic."""


def decay_towards(average: float, sample: float, weight: float) -> float:
    """Return the average after one more sample, which has the weight `weight` (0 to 1)."""
    return average + weight * (sample - average)
