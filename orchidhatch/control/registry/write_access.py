"""Checks whether this registry may accept writes and renew leases."""

from orchidhatch.control.registry.peer_terms import PeerTermGuard
from orchidhatch.control.registry.replica_role import ReplicaRole


class WriteAccess:
    """The checks that all writes and renewals share."""

    def __init__(self, role: ReplicaRole, peer_terms: PeerTermGuard) -> None:
        self._role = role
        self._peer_terms = peer_terms

    def check_writable(self) -> None:
        """Raise ConflictError if this registry is a replica or was replaced."""
        self._role.check_is_primary()
        self._peer_terms.check_not_fenced()

    def check_may_renew(self) -> None:
        """Raise ConflictError like `check_writable`, UnavailableError if the last peer check is too old."""
        self.check_writable()
        self._peer_terms.check_is_current()
