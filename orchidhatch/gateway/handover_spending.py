"""Messages between the two processes of a handover about the spending of customers."""

from collections.abc import Callable

from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.grant_requests import GrantRequest
from orchidhatch.gateway.quota import Customer
from orchidhatch.gateway.snapshots import HandoverSpend


class HandoverSpending:
    """Keeps the other process's quota buckets up to date; a successor reports the spending of both.

    `is_known` returns whether a customer has not been forgotten since.
    """

    def __init__(self, context: DecisionContext, is_known: Callable[[Customer], bool]) -> None:
        self.context = context
        self.is_known = is_known

    def share_spend(self, customer: Customer, units: float) -> None:
        """Send the other process what was spent here; a successor reports it."""
        if not self.is_known(customer):
            return
        counted = 0.0
        if self.context.has_successor:
            counted = units - customer.quota.hand_over_unreported()
        self.context.send_to_handover_peer(HandoverSpend(customer.key, units, counted))

    def share_correction(self, customer: Customer) -> None:
        """Leave it to a successor to report the units that the leader has overcounted or undercounted."""
        if self.context.has_successor and customer.quota.unreported_spend:
            self.share_spend(customer, 0.0)

    def share_answer(self, customer: Customer, grant: GrantRequest) -> None:
        """Send a successor what an answer has counted, as it may get another to the same grant request."""
        if self.context.has_successor:
            counted = -customer.quota.hand_over_unreported()
            answered = (grant.snapshot(customer.key),)
            self.context.send_to_handover_peer(HandoverSpend(customer.key, 0.0, counted, answered))
