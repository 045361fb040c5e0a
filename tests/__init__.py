"""The tests; what drumbay logs in them is not shown."""

import sys
from pathlib import Path

from loguru import logger

logger.remove()
# The adapter's folder is no package (see platform/run.py), so its package is found by path.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
