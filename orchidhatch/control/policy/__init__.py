"""Policies of the fleet: documents, changes that apply to all gateways or to none, and gateways' leases."""
