"""The decision core of a quota-keeping gateway: events and a clock in, actions out; no I/O."""
