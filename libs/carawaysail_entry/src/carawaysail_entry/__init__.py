"""The entry daemon: HTTP front end, the tasks that own sockets and state, start-up."""
