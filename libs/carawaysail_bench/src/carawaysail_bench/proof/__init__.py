"""Proofs: histories with their rules, and faults at every step.

The decisions run as they are; callers, targets, the store and the messages between
daemons are small fakes under one clock, so that each cell is the same on each run.
"""
