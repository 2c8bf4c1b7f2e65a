"""Trials: the program's own processes, faults between them, and a judgement of what happened."""
