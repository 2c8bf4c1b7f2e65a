"""Configuration changes while the gateway serves: the address of discovery and the policy."""

import logging

from orchidhatch.gateway.events import PolicyChange
from orchidhatch.proxy.active_configuration import ActiveConfiguration
from orchidhatch.proxy.config import Config
from orchidhatch.proxy.endpoint_watch import EndpointWatcher
from orchidhatch.proxy.event_dispatcher import EventDispatcher
from orchidhatch.proxy.peers import Peers
from orchidhatch.proxy.policy_guard import PolicyGuard

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Applies the parts of a new configuration that may change without a restart."""

    def __init__(
        self,
        active: ActiveConfiguration,
        dispatcher: EventDispatcher,
        discovery: EndpointWatcher,
        peers: Peers,
        policy_guard: PolicyGuard,
    ) -> None:
        self.active = active
        self.dispatcher = dispatcher
        self.discovery = discovery
        self.peers = peers
        self.policy_guard = policy_guard

    def reload(self, config: Config) -> None:
        """Apply the address of discovery and the policy; ignore all other changes."""
        log.info("read the configuration again; discovery is at %s:%d", *config.discovery)
        self.discovery.move(config.discovery)
        if config.policy and config.policy != self.active.config.policy:
            self.switch_policy(config)

    def switch_policy(self, config: Config) -> None:
        """Apply a policy's plans, latency objectives and bans to new requests."""
        if config.class_numbers != self.active.config.class_numbers:
            log.error("kept the old policy: the new configuration changes the request classes")
            return
        new = config.settings
        names = self.active.plan_names
        new_plan_numbers = tuple(config.plan_numbers.get(names[number], -1) for number in range(len(names)))
        self.dispatcher.run_batch()  # earlier events are processed under the old policy
        self.dispatcher.post(
            PolicyChange(new.classes, new.plans, new.banned_customers, new.policy_mark, new_plan_numbers)
        )
        self.dispatcher.run_batch()
        self.active.replace_policy(config)
        self.peers.policy_mark = new.policy_mark
        self.policy_guard.policy = config.policy
        self.policy_guard.begin(is_suspended=False)
        log.info("applied %s", config.policy.log_text())
