"""Measurements of real processes over loopback and of decision code alone."""
