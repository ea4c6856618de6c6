"""Entry point of `python -m laurelrock`: runs the command line."""

import sys

from laurelrock import cmdline

if __name__ == "__main__":
    sys.exit(cmdline.main(sys.argv))
