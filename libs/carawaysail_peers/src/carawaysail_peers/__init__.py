"""Messages between entry daemons: types, codecs and gRPC transport."""

from carawaysail_peers import codecs, errors, messages, transport

__all__ = ["codecs", "errors", "messages", "transport"]
