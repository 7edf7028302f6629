"""What every process of the system uses to run: inboxes and logs."""
