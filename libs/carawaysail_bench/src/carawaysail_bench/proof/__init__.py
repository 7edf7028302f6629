"""Deterministic fault simulation: every fault at every step, checked by rules.

The decision code of the entry daemons runs unchanged. Callers, targets, the store and
the messages between daemons are fakes driven by one simulated clock, so that a run of
the same fault at the same step always gives the same history of events.
"""
