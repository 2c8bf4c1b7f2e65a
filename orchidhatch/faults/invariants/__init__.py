"""The invariants of the program, checked over the recorded events of a trial: one module a subject."""
