"""The shared parts of the second review's cases: processes, stand-ins and records."""
