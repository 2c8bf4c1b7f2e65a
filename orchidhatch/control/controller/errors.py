"""Errors of the fleet controller, by what follows from them."""


class ControllerError(Exception):
    """Base of all errors below."""


class SessionLostError(ControllerError):
    """The registry does not know this process's session any more; everything held under it is given up."""


class FencedError(ControllerError):
    """The claim belongs to another controller by now, so the action was rejected and the shard is dropped."""


class RetryLaterError(ControllerError):
    """A step could not be carried out now; it is repeated from the stored state and is no failed task."""


class StepPostponedError(RetryLaterError):
    """Nobody who can answer was reached, or this process may not act under its claim at the moment."""


class StaleRecordError(RetryLaterError):
    """A record changed between its reading and its writing."""


class InvalidTaskError(ControllerError):
    """A record that cannot be read as a task; no step is made and no failure is counted."""


class TaskFailedError(ControllerError):
    """The registry rejected an action of a task; counted as a failure of the task's shard."""
