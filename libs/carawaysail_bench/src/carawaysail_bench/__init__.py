"""Demonstration, measurements and fault matrix for entry daemons.

The demonstration and most measurements run real processes over loopback; the fault
matrix in ``proof`` and the other measurements run decision code in one process.
"""
