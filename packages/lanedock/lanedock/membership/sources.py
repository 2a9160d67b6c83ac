# SPDX-License-Identifier: BSD-3-Clause
"""Platform lists read from a file or over HTTP."""

from pathlib import Path

from lanedock.errors import ErrorCode, LanedockError
from lanedock.membership.core import Instance, PlatformList, parse_instances

__all__ = ["FilePlatformList", "HttpPlatformList", "make_platform_list"]

# Seconds.
DEFAULT_TIMEOUT = 2.0


class FilePlatformList(PlatformList):
    """A platform list that is read from a file.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path: str):
        super().__init__()
        self._path = Path(path)

    def __repr__(self) -> str:
        return f"<FilePlatformList {self._path}>"

    def read(self) -> list[Instance]:
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, str(exc)) from exc
        self.findings = []
        return parse_instances(text, str(self._path), self.findings)


class HttpPlatformList(PlatformList):
    """A platform list that is fetched as JSON over HTTP.

    Parameters
    ----------
    url : str
        ``http://`` URL whose host is an IP address.
    timeout : float
        Timeout for connecting and for each network operation, in seconds.
    """

    def __init__(self, url: str, timeout: float = DEFAULT_TIMEOUT):
        super().__init__()
        self._url = url
        self._timeout = timeout

    def __repr__(self) -> str:
        return f"<HttpPlatformList {self._url}>"

    def read(self) -> list[Instance]:
        from geventhttpclient import HTTPClient
        from geventhttpclient.url import URL

        url = URL(self._url)
        client = HTTPClient.from_url(url, connection_timeout=self._timeout, network_timeout=self._timeout)
        try:
            response = client.get(url.request_uri)
            if response.status_code != 200:
                raise LanedockError(
                    ErrorCode.PLATFORM_UNREADABLE, f"{self._url}: HTTP status {response.status_code}, expected 200"
                )
            text = bytes(response.read()).decode()
        except LanedockError:
            raise
        except Exception as exc:  # the client raises parser and socket errors
            raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, f"{self._url}: {exc!r}") from exc
        finally:
            client.close()
        self.findings = []
        return parse_instances(text, self._url, self.findings)


def make_platform_list(address: str) -> PlatformList:
    """Create the platform list for an address: an ``http://`` URL or a file path."""
    if address.startswith("http://"):
        return HttpPlatformList(address)
    return FilePlatformList(address)
