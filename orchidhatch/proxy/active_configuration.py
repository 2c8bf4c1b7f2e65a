"""The configuration for parsing and admitting new requests; a reload replaces its policy."""

from dataclasses import replace

from orchidhatch.proxy.command_parser import CommandParser
from orchidhatch.proxy.config import Config


class ActiveConfiguration:
    """The current configuration with the command parser and the name tables derived from it."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.parser = CommandParser(config)
        self.class_names = {number: name for name, number in config.class_numbers.items()}
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}

    def replace_policy(self, config: Config) -> None:
        """Apply the plans, classes, bans and policy of `config`; keep everything else."""
        new = config.settings
        self.settings = replace(
            self.settings,
            classes=new.classes,
            plans=new.plans,
            banned_customers=new.banned_customers,
            policy_mark=new.policy_mark,
        )
        self.config = replace(
            self.config,
            settings=self.settings,
            plan_numbers=config.plan_numbers,
            policy=config.policy,
            traces_policy=config.traces_policy,
        )
        self.parser = CommandParser(self.config)
        self.plan_names = {number: name for name, number in config.plan_numbers.items()}
