"""HTTP request handlers for gateways and their policy leases."""

from http import HTTPStatus

from orchidhatch.control.http_response import Response
from orchidhatch.control.ownership.writes import RemoveGateway
from orchidhatch.control.policy.fleet_status import encode_fleet_status
from orchidhatch.control.policy.gateway_policy_leases import GatewayPolicyLeases
from orchidhatch.control.policy.lease_host import LeaseHost
from orchidhatch.control.router import Request, Router
from orchidhatch.control.schemas import name, read_policy_lease_renewal, read_register_gateway


class PolicyHandlers:
    """The request handlers of one registry.

    In the paths a gateway is called `door`, for compatibility with all versions.
    """

    def __init__(self, leases: GatewayPolicyLeases, host: LeaseHost) -> None:
        self._leases = leases
        self._host = host

    def add_routes(self, router: Router) -> None:
        """Add the routes of this module to a router."""
        router.add("POST", "/doors", self._register_gateway)
        router.add("POST", "/doors/{}/renew", self._renew_lease)
        router.add("DELETE", "/doors/{}", self._remove_gateway)
        router.add("GET", "/doors", self._get_fleet_status)
        router.add("GET", "/policy", self._get_copy)

    def _register_gateway(self, request: Request) -> None:
        write = read_register_gateway(request.body)
        self._leases.check_may_register(write.gateway)
        self._host.enqueue(write, request.connection)

    def _renew_lease(self, request: Request, gateway: str) -> Response:
        renewal = read_policy_lease_renewal(request.body)
        self._host.check_may_renew()
        return Response(HTTPStatus.OK, self._leases.renew(gateway, renewal))

    def _remove_gateway(self, request: Request, gateway: str) -> None:
        write = RemoveGateway(name("door", gateway))
        self._leases.check_may_remove(write.name)
        self._host.enqueue(write, request.connection)

    def _get_fleet_status(self, request: Request) -> Response:
        return Response(HTTPStatus.OK, encode_fleet_status(self._leases.fleet_status()))

    def _get_copy(self, request: Request) -> Response:
        return Response(HTTPStatus.OK, self._leases.replication.copy())
