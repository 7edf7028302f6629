"""Runtime support for every process of the system: inboxes, logs and metrics."""
