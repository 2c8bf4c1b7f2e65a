"""The same verdict every time: hypothesis draws the same examples, and no time decides."""

from hypothesis import settings

settings.register_profile("orchidhatch", derandomize=True, deadline=None)
settings.load_profile("orchidhatch")
