"""Loopback ports that no other fleet, demo or test of this machine chooses at the same time."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

# Below the ephemeral port range. Otherwise an outgoing connection of another process could take a port between its choice
# and the start of its listener.
RANGE = range(10000, 32000)
FOLDER = pathlib.Path(tempfile.gettempdir()) / f"lovage-ports-{os.getuid()}"

# Descriptors of the lock files of the ports that this process has reserved.
reservations = {}


def reserve_port(candidates=None):
    """Returns a port that is free for TCP and UDP; OSError if none is left. It is reserved until it is released or this
    process ends."""
    for port in candidates or random.SystemRandom().sample(RANGE, len(RANGE)):
        if reserve(port):
            return port
    raise OSError("no free loopback port")


def reserve(port):
    if port in reservations:
        return False
    FOLDER.mkdir(exist_ok=True)
    lock = os.open(FOLDER / str(port), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    if not is_free(port):
        os.close(lock)
        return False
    reservations[port] = lock
    return True


def release(port):
    os.close(reservations.pop(port))


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
