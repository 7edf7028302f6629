"""Simulation of a site: real decisions on an injected clock, without a network."""
