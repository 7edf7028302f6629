"""Measurements on small real processes, and of decisions under a manual clock."""
