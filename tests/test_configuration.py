"""Tests of `configuration.check`."""

import pytest

from figstream import backend_server
from figstream import configuration
from figstream import errors


def _with_url(url: str) -> configuration.Configuration:
    server = backend_server.BackendServer("one", url, "zone-a", models=("m",))
    return configuration.Configuration(servers=(server,))


@pytest.mark.parametrize("url", ["http://10.0.0.7:8000", "http://[::1]:80"])
def test_ip_numbers_are_addresses(url: str) -> None:
    configuration.check(_with_url(url))


@pytest.mark.parametrize(
    "url",
    [
        "",
        "10.0.0.7:8000",
        "https://10.0.0.7:8000",
        "http://engine.local:8000",
        "http://10.0.0.7",
        "http://10.0.0.7:many",
        "http://10.0.0.7:8000/v1",
        "http://[::1:80",
    ],
)
def test_other_addresses_are_refused_with_the_remedy(url: str) -> None:
    """Fails if `check` accepts a host name, which needs a DNS lookup."""
    with pytest.raises(errors.ConfigurationError, match="http://IP:PORT"):
        configuration.check(_with_url(url))
