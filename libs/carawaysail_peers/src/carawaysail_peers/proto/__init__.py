"""Code generated from ``peers.proto`` by ``bin/generate``."""
