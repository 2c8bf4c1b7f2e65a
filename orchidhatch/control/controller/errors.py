"""Errors of the fleet controller, classified by how they are handled."""


class ControllerError(Exception):
    """Base class of the errors below."""


class SessionLostError(ControllerError):
    """The registry no longer has this process's session; all claims held under it are dropped."""


class FencedError(ControllerError):
    """The action was rejected because another controller now holds the claim; the shard is dropped."""


class RetryLaterError(ControllerError):
    """A step cannot be carried out now; it is retried from the stored state and not counted as a failure."""


class StepPostponedError(RetryLaterError):
    """The step got no reply that it needs, or this process may currently not act under its claim."""


class StaleRecordError(RetryLaterError):
    """A record changed between the read and the write."""


class InvalidTaskError(ControllerError):
    """A record cannot be decoded as a task; no step is carried out and no failure is counted."""


class TaskFailedError(ControllerError):
    """The registry rejected an action of a task; this counts as a failure in the task's shard."""
