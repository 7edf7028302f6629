"""Streams of messages between daemons that hold workers, and their encoding."""
