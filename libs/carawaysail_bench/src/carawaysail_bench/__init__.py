"""Demonstration, measurements and proofs on small real processes over loopback."""
