"""The tests of drumbay, with its log output disabled."""

import sys
from pathlib import Path

from loguru import logger

logger.remove()
# The folder of the platform adapter is not a package, so its package is found by path.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
