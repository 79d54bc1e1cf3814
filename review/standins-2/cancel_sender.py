"""A client that sends cancels ahead on one connection at a time and doesn't read the answers.

Usage: cancel_sender.py IP PORT SECONDS. Each cancel names a job of its own, which nobody handed in.
"""

import random
import socket
import sys
import time

# What the entry reads of one connection before the unread answers hold it up.
SENT_AHEAD = 400
PAUSE_S = 0.02


def main():
    address, until = (sys.argv[1], int(sys.argv[2])), time.monotonic() + float(sys.argv[3])
    sent = 0
    while time.monotonic() < until:
        text = b"".join(
            b"DELETE /hold/%016x HTTP/1.1\r\nHost: nony24.example\r\n\r\n" % random.getrandbits(64)
            for _ in range(SENT_AHEAD))
        try:
            with socket.create_connection(address, timeout=1) as connection:
                connection.sendall(text)
                sent += SENT_AHEAD
                time.sleep(PAUSE_S)
        except OSError:
            time.sleep(PAUSE_S)
    print(sent)


main()
