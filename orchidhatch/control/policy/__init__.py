"""A change of policy that takes hold at all front doors or at none."""
