# SPDX-License-Identifier: BSD-3-Clause
"""The protocols between a process and its callers, applications and operators.

This module has lanedock's own protocols. A platform with other protocols supplies another
`Interface`, which only translates and makes no decisions.
"""

from abc import ABC, abstractmethod

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Settings
from lanedock_daemon.path.shared.dialect import Dialect, OwnDialect

__all__ = ["Interface", "OwnInterface"]


class Interface(ABC):
    """Makes the handlers of requests from callers, applications and operators."""

    @abstractmethod
    def make_dialect(self) -> Dialect:
        """Make the object that reads and writes the headers of callers and applications."""

    @abstractmethod
    def make_registration_handler(self, registrar):
        """Make the handler of an application's heartbeats.

        Parameters
        ----------
        registrar : Registrar

        Returns
        -------
        object
            With ``handle(request) -> Answer``.
        """

    @abstractmethod
    def make_operators_handler(self, control, settings: Settings):
        """Make the handler of operators' HTTP calls, which passes them to a control task.

        Raises
        ------
        LanedockError
            `ErrorCode.SERVICE_MISSING` if operators are not served over HTTP.
        """


class OwnInterface(Interface):
    """Lanedock's own protocols."""

    def make_dialect(self) -> Dialect:
        return OwnDialect()

    def make_registration_handler(self, registrar):
        from lanedock_daemon.agent.registration import RegistrationHandler

        return RegistrationHandler(registrar)

    def make_operators_handler(self, control, settings: Settings):
        raise LanedockError(
            ErrorCode.SERVICE_MISSING, "operators are served over gRPC only; remove `operators` from the settings"
        )
