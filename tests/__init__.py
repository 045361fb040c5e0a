"""The tests; what drumbay logs in them is not shown."""

from loguru import logger

logger.remove()
