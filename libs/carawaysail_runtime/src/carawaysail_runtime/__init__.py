"""What every process of the system uses to run: inboxes, logs and metrics."""
