"""The entry daemon: front end, tasks that own sockets and state, and their wiring."""
