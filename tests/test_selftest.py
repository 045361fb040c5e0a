"""The package can be imported and has a version."""

import unittest

import drumbay


class PackageTest(unittest.TestCase):
    def test_version(self) -> None:
        self.assertRegex(drumbay.__version__, r"^\d+\.\d+\.\d+$")
