"""The control plane: processes beside the front doors, which they meet only over the protocols."""
