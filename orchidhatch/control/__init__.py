"""The control plane: registry, agents, controllers and the operators' commands, each a process of its own."""
