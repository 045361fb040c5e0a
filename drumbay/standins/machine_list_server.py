"""An emulated machine list as an HTTP server."""

import ssl

import msgspec

from drumbay.clock import Clock
from drumbay.standins.http_shell import HTTP_BAD_REQUEST, EmulatorServer, JsonHandler
from drumbay.standins.machine_list_model import Machine, MachineChange, MachineListModel

MACHINES_PATH = "/v1/machines"


class MachinePage(msgspec.Struct, frozen=True, kw_only=True):
    """The machines that readers see now."""

    machines: tuple[Machine, ...]


class ChangePage(msgspec.Struct, frozen=True, kw_only=True):
    """Every change as it truly happened."""

    changes: tuple[MachineChange, ...]


class MachinesHandler(JsonHandler):
    """``GET`` and ``POST /v1/machines``."""

    def initialize(self, machines: MachineListModel) -> None:
        """Store the list."""
        self._machines = machines

    def get(self) -> None:
        """Answer with the visible machines."""
        self.send(MachinePage(machines=self._machines.visible()))

    def post(self) -> None:
        """Add or change a machine."""
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
        """Store the list."""
        self._machines = machines

    def get(self) -> None:
        """Answer with the true history."""
        self.send(ChangePage(changes=self._machines.changes()))


class MachineListServer:
    """Serves one emulated machine list."""

    def __init__(
        self,
        machines: MachineListModel,
        clock: Clock,
        *,
        host: str,
        port: int,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Create a server; ``port`` 0 takes a free port."""
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
        """URL at which the list is read."""
        return self._server.base_url

    def start(self) -> None:
        """Bind the port and serve."""
        self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()
