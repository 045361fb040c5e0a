"""HTTP server of an emulated machine list."""

import ssl

import msgspec

from drumbay.clock import Clock
from drumbay.standins.emulator_server import HTTP_BAD_REQUEST, EmulatorServer, JsonHandler
from drumbay.standins.machine_list_model import Machine, MachineChange, MachineListModel

MACHINES_PATH = "/v1/machines"


class MachinePage(msgspec.Struct, frozen=True, kw_only=True):
    """Response with the currently visible machines."""

    machines: tuple[Machine, ...]


class ChangePage(msgspec.Struct, frozen=True, kw_only=True):
    """Response with all changes."""

    changes: tuple[MachineChange, ...]


class MachinesHandler(JsonHandler):
    """``GET`` and ``POST /v1/machines``."""

    def initialize(self, machines: MachineListModel) -> None:
        """Set the machine list."""
        self._machines = machines

    def get(self) -> None:
        """Return the visible machines."""
        self.send(MachinePage(machines=self._machines.visible()))

    def post(self) -> None:
        """Add or update a machine."""
        try:
            machine = msgspec.json.decode(self.request.body, type=Machine)
        except msgspec.DecodeError as error:
            self.send_error_body(HTTP_BAD_REQUEST, "invalid_body", str(error))
            return
        self._machines.set_machine(machine)
        self.send(machine)


class ChangesHandler(JsonHandler):
    """``GET /v1/machines/changes``."""

    def initialize(self, machines: MachineListModel) -> None:
        """Set the machine list."""
        self._machines = machines

    def get(self) -> None:
        """Return all changes."""
        self.send(ChangePage(changes=self._machines.changes()))


class MachineListServer:
    """HTTP server of one emulated machine list."""

    def __init__(
        self,
        machines: MachineListModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 selects a free port."""
        arguments = {"machines": machines}
        self._server = EmulatorServer(
            machines,
            [
                (MACHINES_PATH, MachinesHandler, arguments),
                (MACHINES_PATH + "/changes", ChangesHandler, arguments),
            ],
            clock,
            host=host,
            port=port,
            ssl_context=ssl_context,
        )

    @property
    def base_url(self) -> str:
        """Base URL of the machine list."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()
