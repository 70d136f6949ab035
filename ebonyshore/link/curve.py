"""CURVE encryption and authentication of the ZeroMQ sockets between processes.

All processes share one key pair. A peer without the public key cannot complete the handshake, and
the authenticator admits only peers that hold the secret key.
"""

import zmq
from zmq.utils.z85 import encode as encode_z85

from ebonyshore.frame.process_settings import FleetSettings

ZAP_ENDPOINT = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
ZAP_DOMAIN = b"ebonyshore"
# Frames of a request for CURVE: version, request id, domain, address, identity, mechanism and the
# public key of the peer.
ZAP_REQUEST_FRAMES = 7


def secure_server(sock: zmq.Socket, fleet: FleetSettings) -> None:
    """Configure ``sock`` as a CURVE server. Must be called before ``bind``."""
    sock.curve_server = True
    sock.curve_secretkey = fleet.secret_key_z85.encode()
    sock.curve_publickey = fleet.public_key_z85.encode()
    sock.zap_domain = ZAP_DOMAIN


def secure_client(sock: zmq.Socket, fleet: FleetSettings) -> None:
    """Configure ``sock`` as a CURVE client. Must be called before ``connect``."""
    sock.curve_serverkey = fleet.public_key_z85.encode()
    sock.curve_secretkey = fleet.secret_key_z85.encode()
    sock.curve_publickey = fleet.public_key_z85.encode()


def open_authenticator(context: zmq.Context) -> zmq.Socket:
    """Return a bound socket that receives the authentication requests of libzmq.

    Each request must be answered with :func:`handle_authentication_request`.
    """
    sock = context.socket(zmq.REP)
    sock.linger = 0
    sock.bind(ZAP_ENDPOINT)
    return sock


def handle_authentication_request(sock: zmq.Socket, fleet: FleetSettings) -> bool:
    """Receive and answer one authentication request of libzmq (RFC 27, ZAP).

    Blocks until a request arrives.

    :param sock: socket from :func:`open_authenticator`.
    :return: whether the peer was admitted.
    """
    frames = sock.recv_multipart()
    is_admitted = (
        len(frames) == ZAP_REQUEST_FRAMES
        and frames[5] == b"CURVE"
        and encode_z85(frames[6]) == fleet.public_key_z85.encode()
    )
    status = [b"200", b"OK"] if is_admitted else [b"400", b"unknown key"]
    request_id = frames[1] if len(frames) > 1 else b""
    sock.send_multipart([ZAP_VERSION, request_id, *status, b"", b""])
    return is_admitted
