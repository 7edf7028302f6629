"""Fault soak: real daemons as processes, faults from outside, checks of the history."""
