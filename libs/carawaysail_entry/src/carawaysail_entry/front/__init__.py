"""The front end over HTTP, for callers and operators."""
