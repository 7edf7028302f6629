"""Decisions of daemons that hold workers: election, broker and gateway; no I/O."""
