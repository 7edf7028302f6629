"""Small stand-ins of the platform and of targets, with a registry of faults.

They run as real processes over loopback and inside a test. They are no simulator:
each answers its protocol, takes the time that it is told to, and counts.
"""
