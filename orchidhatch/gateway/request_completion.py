"""How requests end: rejected, failed, answered, or abandoned by their clients."""

from orchidhatch.gateway.actions import CancelAttempt, Fail, Reject
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import ClientGone, EndOpenRequests
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.reasons import EndReason, RejectionReason
from orchidhatch.gateway.request_counters import RequestCounters
from orchidhatch.gateway.request_registry import RequestRegistry
from orchidhatch.gateway.retry_after import RetryAfter


class RequestCompletion:
    """Ends requests: answers the client, refunds unused quota and cancels attempts in flight."""

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestRegistry,
        quotas: QuotaLeaders,
        retry_after: RetryAfter,
        counters: RequestCounters,
    ) -> None:
        self.context = context
        self.requests = requests
        self.quotas = quotas
        self.retry_after = retry_after
        self.counters = counters

    def end_unserved(self, request: InFlightRequest, reason: EndReason) -> None:
        """Reject the request if a retry is harmless, else fail it."""
        self.counters.count_end(reason)
        answer: Reject | Fail
        if request.may_reject():
            answer = Reject(request.id, self.retry_after.delay_us(request, reason))
        else:
            answer = Fail(request.id)
        self.context.actions.append(answer)
        self.release(request)

    def end_interrupted(self, request: InFlightRequest) -> None:
        """End a request whose streamed answer ended early and that no further attempt may complete."""
        self.context.actions.append(Fail(request.id))
        self.release(request)

    def on_end_open_requests(self, _: EndOpenRequests) -> None:
        """End every open request now: rejected where a retry elsewhere is harmless, else failed."""
        for request in [request for request in self.requests if not request.is_closed]:
            self.end_unserved(request, RejectionReason.PROCESS_ENDS)

    def on_client_gone(self, event: ClientGone) -> None:
        """Release the request of a client that has disconnected."""
        request = self.requests.get(event.id)
        if request is not None:
            self.release(request)
            self.quotas.return_soon(request.customer)

    def release(self, request: InFlightRequest) -> None:
        """Close the request, and remove it unless attempts are still in flight."""
        if not request.servers and not request.is_closed:
            self.refund_quota(request)
        may_cancel = self.context.settings.may_cancel and not request.is_closed
        self.requests.close(request)
        if may_cancel:
            self.context.actions += [CancelAttempt(request.id, number) for number in request.attempts]
        if not request.attempts:
            self.requests.remove(request)

    def refund_quota(self, request: InFlightRequest) -> None:
        """Refund the quota spent on a request that was sent to no server."""
        if request.is_in_quota:
            self.quotas.spend(request.customer, -request.units)
