"""Addresses of fleets of test runs that go on at the same time."""

import subprocess
import sys

from ebonyshore_standins.platform_fleet import RUN_OCTET, reserve_octet

PRINT_OCTET = "from ebonyshore_standins.platform_fleet import RUN_OCTET; print(RUN_OCTET)"


def test_two_test_runs_have_different_addresses(monkeypatch):
    """Guards against fleets that are not ready, as another run has the address of their metrics;
    runs whose process ids are equal modulo the number of addresses had the same ones."""
    monkeypatch.setattr("os.getpid", lambda: RUN_OCTET - 1)
    octet, reservation = reserve_octet()
    with reservation:
        assert octet != RUN_OCTET
        again, second = reserve_octet()
        second.close()
        assert again not in (octet, RUN_OCTET)


def test_address_of_a_run_that_has_ended_is_free_again():
    octets = [
        int(
            subprocess.run(
                [sys.executable, "-c", PRINT_OCTET], capture_output=True, check=True
            ).stdout
        )
        for _ in range(2)
    ]
    assert all(1 <= octet <= 250 for octet in octets)
    first, reservation = reserve_octet()
    reservation.close()
    second, reservation = reserve_octet()
    reservation.close()
    assert first == second
