"""Simulation of a site: data centres, daemons, workers and clients.

The daemons' decision code runs unchanged, on a simulated clock and without a network.
"""
