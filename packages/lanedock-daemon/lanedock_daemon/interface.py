# SPDX-License-Identifier: BSD-3-Clause
"""How a process speaks with its surroundings: callers, applications, operators.

What lanedock speaks itself is here; a platform with manners of its own is met
by another `Interface`, which translates and decides nothing.
"""

from abc import ABC, abstractmethod

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Settings
from lanedock_daemon.path.dialect import Dialect, OwnDialect

__all__ = ["Interface", "OwnInterface"]


class Interface(ABC):
    """Makes the parts that speak with the surroundings."""

    @abstractmethod
    def make_dialect(self) -> Dialect:
        """Make the reader and writer of callers' and applications' headers."""

    @abstractmethod
    def make_registration_side(self, registrar):
        """Make what takes an application's heartbeats.

        Parameters
        ----------
        registrar : Registrar

        Returns
        -------
        object
            With ``handle(request) -> Answer``.
        """

    @abstractmethod
    def make_operators_side(self, control, settings: Settings):
        """Make what takes operators' calls over HTTP, in front of a control task."""


class OwnInterface(Interface):
    """What lanedock speaks itself."""

    def make_dialect(self) -> Dialect:
        return OwnDialect()

    def make_registration_side(self, registrar):
        from lanedock_daemon.agent.registration import RegistrationSide

        return RegistrationSide(registrar)

    def make_operators_side(self, control, settings: Settings):
        raise LanedockError(ErrorCode.SERVICE_MISSING, "operators are served by gRPC only; leave out `operators`")
