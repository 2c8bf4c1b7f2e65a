"""Outlier detection: fault scores, ejection, recovery probe and recovery ramp."""

from dataclasses import replace

from orchidhatch.gateway.actions import SendAttempt
from orchidhatch.gateway.attempts import AttemptResult
from orchidhatch.gateway.decision_context import DecisionContext
from orchidhatch.gateway.events import PeerMessage
from orchidhatch.gateway.gossip import AttemptObservation, GossipMessage
from orchidhatch.gateway.outlier_detection import REJECTION_EJECTION_US, OutlierDetector
from orchidhatch.gateway.server_record import ServerRecord
from orchidhatch.gateway.settings import Plan
from tests.helpers import MS, PLAN, SETTINGS, S, Set, World, of, servers


def test_observations_of_a_peer_keep_others_off_a_faulty_server() -> None:
    """Each gateway alone would have to wait for a timeout of its own attempt."""
    gateways = Set(40, replace(SETTINGS, plans=(PLAN,)), servers(10))
    world = gateways.worlds[1]
    checksum = world.gateway.balancer.servers["s0"].checksum
    for n in range(12):
        observations = tuple(
            AttemptObservation(*server_and_class, False, 0.9)
            for server_and_class in ((checksum, 0), (checksum, 7), (1, 0))
        )
        world.tell(PeerMessage(2, (GossipMessage(n, 0, 1, 5, level=20.0),), observations))
    for n in range(40):
        world.ask(f"r{n}", customer=f"c{n}", set_first=1, set_size=5)
        world.run(5 * MS)
        world.answer(f"r{n}")
    assert "s0" not in {action.server for _, action in world.log if isinstance(action, SendAttempt)}


def test_failing_server_is_ejected_and_probed() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(3))
    failing = "s0"
    attempts = 0
    late_attempts = 0
    for n in range(400):
        world.ask(f"r{n}")
        world.run((1 + n * 37 % 50) * MS)
        for name, attempt in list(world.out):
            is_failing = world.out[(name, attempt)][0] == failing
            attempts += is_failing
            late_attempts += is_failing and n > 200
            world.answer(name, AttemptResult.RESET if is_failing else AttemptResult.OK, attempt)
    assert attempts < 20
    assert late_attempts >= 1


def test_timeout_is_no_failure_of_a_server_that_answers_others() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(1))
    for n in range(4):
        world.ask(f"r{n}")
    for n in range(2):
        world.ask(f"ok{n}")
    world.run(1 * S)
    world.answer("ok0")
    world.run(10 * MS)
    for n in range(4):
        world.answer(f"r{n}", AttemptResult.TIMEOUT)
    assert world.gateway.balancer.servers["s0"].needs_probe is False


def test_servers_that_all_recovered_at_once_take_every_request() -> None:
    """A fault of the network ejects every server for a while; none of them is in slow start for that."""
    settings = replace(SETTINGS, plans=(Plan(),))
    world = World(settings, servers(4))
    for server in world.gateway.balancer.up:
        server.needs_probe = True
        server.ejected_until_us = world.now
    for n in range(100):
        world.ask(f"r{n}")
        world.run(25 * MS)
        for name, attempt in list(world.out):
            world.answer(name, attempt=attempt)
    sent = len(of(SendAttempt, [action for _, action in world.log]))
    assert sent == 100


def detector_and_server() -> tuple[OutlierDetector, ServerRecord]:
    detector = OutlierDetector(DecisionContext(SETTINGS))
    detector.context.now_us = 100 * S
    return detector, ServerRecord(servers(1)[0])


def test_ejection_doubles_with_each_failed_probe_up_to_a_bound() -> None:
    detector, server = detector_and_server()
    detector.record_failure(server)
    assert not detector.is_ejected(server) and not server.needs_probe
    ejections_us = []
    for _ in range(5):
        detector.record_failure(server)
        ejections_us.append(server.ejected_until_us - detector.context.now_us)
        detector.context.now_us = server.ejected_until_us
    assert ejections_us == [1 * S, 2 * S, 4 * S, 8 * S, 8 * S]


def test_successes_keep_a_server_with_few_failures_from_ejection() -> None:
    detector, server = detector_and_server()
    for _ in range(20):
        detector.record_failure(server)
        detector.record_success(server)
        detector.record_success(server)
    assert not detector.is_ejected(server) and not server.needs_probe


def test_successful_probe_readmits_a_server() -> None:
    detector, server = detector_and_server()
    detector.record_failure(server)
    detector.record_failure(server)
    detector.context.now_us = server.ejected_until_us
    detector.record_success(server)
    assert not server.needs_probe and server.failure_score == 0.0 and server.ejection_us == 0
    assert server.recovered_us == detector.context.now_us


def test_failed_probe_ejects_whatever_the_failure_score() -> None:
    """As after a readmission by an operator, which starts the score anew."""
    detector, server = detector_and_server()
    detector.require_probe(server)
    detector.record_failure(server)
    assert detector.is_ejected(server)


def test_rejection_ejects_for_a_service_time_without_a_probe() -> None:
    detector, server = detector_and_server()
    detector.record_rejection(server)
    assert detector.is_ejected(server) and not server.needs_probe
    assert server.ejected_until_us == detector.context.now_us + REJECTION_EJECTION_US
    server.ejected_until_us += 5 * S
    detector.record_rejection(server)
    assert server.ejected_until_us == detector.context.now_us + REJECTION_EJECTION_US + 5 * S
