"""Stand-ins of the review's cases: clients, backends, discovery and the platform."""
