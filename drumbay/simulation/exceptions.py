"""Failures of a simulation itself, as opposed to those it injects."""

from drumbay.exceptions import DrumbayError


class SimulationError(DrumbayError):
    """A simulation could not be carried on."""

    code = "simulation"


class SimulationWedgedError(SimulationError):
    """No task can ever run again: nothing is ready and no timer is set."""

    code = "simulation_wedged"


class RealInputOutputError(SimulationError):
    """Simulated code used a real socket, file descriptor or thread."""

    code = "simulation_real_input_output"
