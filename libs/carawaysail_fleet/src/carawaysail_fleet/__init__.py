"""The daemon that holds workers: tasks that own state and sockets, and their wiring."""
