"""Decisions of daemons that hold workers alone; pure, without I/O."""
