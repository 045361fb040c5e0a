"""Errors of the simulation itself, as opposed to injected failures."""

from drumbay.exceptions import DrumbayError


class SimulationError(DrumbayError):
    """The simulation cannot continue."""

    code = "simulation"


class SimulationDeadlockError(SimulationError):
    """Deadlock: no task is ready and no timer is set."""

    code = "simulation_wedged"


class RealInputOutputError(SimulationError):
    """Simulated code used a real socket, file descriptor or thread."""

    code = "simulation_real_input_output"
