"""Run one entry daemon of carawaysail.

Usage:
  carawaysail-entry --settings FILE
  carawaysail-entry (-h | --help)

Options:
  --settings FILE  JSON with comments: name, data centre and addresses of this daemon.
  -h --help        Show this text.
"""

import pathlib
import sys

import docopt

from carawaysail_entry import daemon
from carawaysail_settings import daemon_settings
from carawaysail_types import errors


def main() -> None:
    """Read the settings file and run the daemon; exit with 2 if it is not accepted."""
    args = docopt.docopt(__doc__)
    path = pathlib.Path(args["--settings"])
    try:
        cfg = daemon_settings.load(str(path), path.read_text(encoding="utf-8"))
    except OSError as exc:
        sys.exit(f"carawaysail-entry: cannot read {path}: {exc.strerror}")
    except errors.CarawaysailError as exc:
        print(f"carawaysail-entry: {exc}", file=sys.stderr)
        sys.exit(2)
    daemon.run(cfg)
