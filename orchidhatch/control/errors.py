"""Errors of the control plane, by cause.

Each message states in one line what failed and for which object. `STATUS_OF_ERROR` in
`orchidhatch.control.http_response` alone maps the errors to HTTP statuses.
"""


class ControlError(Exception):
    """The base class of errors in responses of the control plane."""


class InvalidRequestError(ControlError):
    """The request is malformed; the text names the field."""


class RequestTooLargeError(ControlError):
    """The body of the request exceeds the size limit."""


class RequestTimeoutError(ControlError):
    """The request did not arrive completely in time."""


class ConflictError(ControlError):
    """The request conflicts with the current state; nothing was changed.

    One exception: a registry that learns that it was replaced while it writes a batch to disk rejects the
    batch's writes with this error, although they are durable there.
    """


class NotFoundError(ConflictError):
    """The request is about an object that does not exist."""


class UnavailableError(ControlError):
    """The service cannot answer now; the same request may succeed later."""


class StoreError(UnavailableError):
    """The store cannot be opened or written."""


class CorruptStoreError(StoreError):
    """The content of the store's file is corrupt. The file is left unchanged for inspection."""
