"""The daemon that holds workers: the tasks and servers it consists of."""
