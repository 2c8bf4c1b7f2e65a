"""The lifecycle of attempts: their ends, retries, and streamed answers."""

from orchidhatch.gateway.attempt_learning import AttemptLearning
from orchidhatch.gateway.attempt_sender import AttemptSender
from orchidhatch.gateway.attempts import NOT_RUN_RESULTS, AttemptResult
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import AttemptEnded, StreamStarted
from orchidhatch.gateway.in_flight import InFlightRequest
from orchidhatch.gateway.load_balancing import LoadBalancer
from orchidhatch.gateway.overload import OverloadController
from orchidhatch.gateway.quota_leaders import QuotaLeaders
from orchidhatch.gateway.request_completion import RequestCompletion
from orchidhatch.gateway.request_queue import RequestQueue
from orchidhatch.gateway.request_registry import RequestRegistry
from orchidhatch.gateway.retries import RetryPolicy
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.snapshots import HandoverAttemptEnd


class AttemptControl:
    """Handles ended attempts: frees their resources, records results, and retries or ends their requests."""

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestRegistry,
        overload: OverloadController,
        balancer: LoadBalancer,
        quotas: QuotaLeaders,
        retries: RetryPolicy,
        sender: AttemptSender,
        queue: RequestQueue,
        completion: RequestCompletion,
        learning: AttemptLearning,
    ) -> None:
        self.context = context
        self.requests = requests
        self.overload = overload
        self.balancer = balancer
        self.quotas = quotas
        self.retries = retries
        self.sender = sender
        self.queue = queue
        self.completion = completion
        self.learning = learning

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the end of an attempt; ignored if the attempt is not known to be in flight."""
        request = self.requests.get(event.id)
        if request is None or event.attempt not in request.attempts:
            return
        self.free_attempt(request, event)
        if event.result is AttemptResult.NOT_SENT and event.attempt == 0:
            self.completion.refund_quota(request)
            request.customer.refund_ceiling(request.units)
        self.record_whether_run(request, event.result)
        if event.is_interrupted:
            if not self.resume_answer(request, event.result):
                self.completion.end_interrupted(request)
        elif event.is_final or request.is_closed:
            self.completion.release(request)
        elif not request.attempts and not self.retry(request, event.result):
            self.completion.end_unserved(request, event.result)
        if not request.attempts:  # A retry uses the same concurrency slot.
            self.quotas.report_in_flight(request.customer)

    def on_stream_started(self, event: StreamStarted) -> None:
        """Handle the start of a streamed answer: the server is done, and the rest depends on the client."""
        request = self.requests.get(event.id)
        if request is None or event.attempt not in request.attempts:
            return
        if request.is_closed and not request.is_resuming:
            return
        request.is_streaming = True
        request.is_resuming = False
        server = request.servers[event.attempt]
        self.requests.close(request)
        self.free_server(server, request, event.attempt)
        success = AttemptEnded(
            event.id, True, event.attempt, event.server, AttemptResult.OK, event.latency_us
        )
        self.learning.record_attempt(request, server, success)

    def free_attempt(self, request: InFlightRequest, event: AttemptEnded) -> None:
        """Remove an ended attempt from its customer and server, and record its result.

        For a streamed answer, the attempt was removed from its server and recorded as a success when the
        stream began; only a failure is recorded here.
        """
        server = request.servers[event.attempt]
        request.customer.attempt_ended()
        del request.attempts[event.attempt]
        self.context.send_to_handover_peer(HandoverAttemptEnd(event.id, event.attempt))
        if not request.is_streaming:
            self.free_server(server, request, event.attempt)
        if not request.is_streaming or event.result is not AttemptResult.OK:
            self.learning.record_attempt(request, server, event)

    def free_server(self, server: ServerRecord, request: InFlightRequest, number: int) -> None:
        """Count the attempt as no longer in flight at the server."""
        self.overload.in_flight -= 1
        self.balancer.attempt_ended(server, (request.id, number))

    def record_whether_run(self, request: InFlightRequest, result: AttemptResult) -> None:
        """Count the attempt if it has certainly not run.

        A request none of whose attempts can have run is bound to no server, and may be rejected.
        """
        if result in NOT_RUN_RESULTS:
            request.unrun_attempts += 1
        if request.unrun_attempts == len(request.servers):
            request.first_server = None

    def retry(self, request: InFlightRequest, result: AttemptResult) -> bool:
        """Retry the request after that result, at once or from the queue; return whether it is retried."""
        if not self.retries.may_retry(request, result):
            return False
        server = self.balancer.choose(request)
        if server is not None:
            self.retries.charge_retry(result)
            self.sender.send(request, server)
            return True
        if request.first_server is None:
            self.queue.enqueue(request)
            return True
        return False

    def resume_answer(self, request: InFlightRequest, result: AttemptResult) -> bool:
        """Send another attempt for the rest of a streamed answer; return whether there is a server for it."""
        request.is_streaming = False
        if not self.retries.may_resume(request, result):
            return False
        server = self.balancer.choose(request)
        if server is None:
            return False
        request.is_resuming = True
        self.retries.charge_retry(result)
        self.sender.send(request, server)
        return True

    def overdue_ages(self) -> list[float]:
        """Return the ages of attempts slower than the mean, as fractions of the latency objective up to 1."""
        now_us = self.context.now_us
        mean_latencies_us = self.balancer.mean_latencies_us
        return [
            min(1.0, (now_us - sent_us) / request.rule.latency_objective_us)
            for request in self.requests
            if not request.is_streaming
            for sent_us in request.attempts.values()
            if now_us - sent_us > mean_latencies_us[request.class_index]
        ]
