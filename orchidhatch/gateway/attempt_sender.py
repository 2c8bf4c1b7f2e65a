"""Sending of attempts: charges each to its customer, server and limits, and sets its timeout."""

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.retries import RetryPolicy
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.snapshots import HandoverAttempt


class AttemptSender:
    """Sends attempts; only a request's first one counts against the admission limit and the rate ceiling."""

    def __init__(
        self,
        context: DecisionContext,
        overload: OverloadController,
        balancer: LoadBalancer,
        quotas: QuotaLeaders,
        retries: RetryPolicy,
    ) -> None:
        self.context = context
        self.overload = overload
        self.balancer = balancer
        self.quotas = quotas
        self.retries = retries

    def send(self, request: InFlightRequest, server: ServerRecord) -> None:
        """Send the request's next attempt to the server."""
        now_us = self.context.now_us
        customer = request.customer
        number = len(request.servers)
        is_first = number == 0
        if is_first:
            self.overload.admitted_this_period += 1
            self.retries.credit_first_attempt()
            customer.charge_ceiling(request.units)
        request.servers.append(server)
        request.attempts[number] = now_us
        self.balancer.attempt_began(server, (request.id, number), now_us)
        customer.attempt_began()
        self.overload.in_flight += 1
        if is_first:
            self.quotas.use_slot(customer)
        server.credit -= 1

        server_name = server.endpoint.name
        timeout_us = self.retries.timeout_us(request)
        start_within_us = self.retries.start_within_us(request)
        self.context.actions.append(SendAttempt(request.id, server_name, timeout_us, start_within_us))
        if request.first_server is None:
            request.first_server = server
            request.first_sent_us = now_us
        ceiling_units = request.units if is_first else 0.0
        self.context.send_to_handover_peer(
            HandoverAttempt(customer.key, request.id, number, server_name, now_us, ceiling_units)
        )
