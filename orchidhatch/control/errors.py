"""Errors of the control plane, by cause.

Each says in one plain line what went wrong and for which object. `STATUS_OF_ERROR` in
`orchidhatch.control.http_response` is the one place that gives them an HTTP status.
"""


class ControlError(Exception):
    """Any error that a request to the control plane may be answered with."""


class InvalidRequestError(ControlError):
    """The request is malformed; the text names the field."""


class RequestTooLargeError(ControlError):
    """The body of the request is longer than is read."""


class RequestTimeoutError(ControlError):
    """The request did not arrive completely in time."""


class ConflictError(ControlError):
    """The request does not fit the current state; nothing was changed.

    One exception: a registry that learns that it was replaced while a batch is on its way to its disk rejects
    the batch's writes with this error, though they are durable there.
    """


class NotFoundError(ConflictError):
    """The request is about an object that does not exist."""


class UnavailableError(ControlError):
    """The service cannot answer now; the same request may succeed later."""


class StoreError(UnavailableError):
    """The store cannot be opened or written."""


class CorruptStoreError(StoreError):
    """The content of the store's file is not what was written. The file is left as it is, for inspection."""
