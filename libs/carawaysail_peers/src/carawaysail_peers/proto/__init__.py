"""Generated code of the envelope that carries messages; see ``bin/generate``."""
