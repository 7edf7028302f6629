"""A model of the served systems: real decisions, no network, an injected clock."""
