"""Command line for operators of the dispatcher."""
