"""Bad clients, as a process of their own: each sends a head that does not end, at full speed, and reads what it is sent.

Arguments: port, number of clients, seconds that each sends at most; one that gets an error or a close stops at once. The head that does not end is the one behind a chunked body, its
trailer fields (RFC 9112, 7.1.2). Prints one line a client: how long after its connect it got an error or a close.
"""
import os
import selectors
import socket
import sys
import time

PORT, CLIENTS, MOST_SECONDS = (int(text) for text in sys.argv[1:4])
FIELDS = memoryview(b"a:b\r\n" * 400_000)


class Client:
    def __init__(self, selector):
        identity = os.urandom(8).hex()
        self.io = socket.create_connection(("127.0.0.1", PORT))
        self.began = time.monotonic()
        self.io.sendall((f"POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {identity}\r\n"
                         f"X-Lane: caption-draft\r\nX-Entity: {identity}\r\nX-Remaining-Ms: 4000\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n").encode())
        self.io.setblocking(False)
        self.sent, self.answer, self.ended = 0, b"", None
        selector.register(self.io, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def end(self, selector):
        self.ended = self.ended or time.monotonic() - self.began
        selector.unregister(self.io)
        self.io.close()

    def ready(self, selector, events):
        try:
            if events & selectors.EVENT_READ:
                data = self.io.recv(4096)
                if not data:
                    return self.end(selector)
                self.answer += data
                return self.end(selector)
            if events & selectors.EVENT_WRITE:
                self.sent += self.io.send(FIELDS[self.sent % 5:])
        except BlockingIOError:
            pass
        except OSError:
            self.end(selector)


def main():
    selector = selectors.DefaultSelector()
    clients = [Client(selector) for _ in range(CLIENTS)]
    began = time.monotonic()
    while selector.get_map() and time.monotonic() - began < MOST_SECONDS:
        for key, events in selector.select(0.5):
            key.data.ready(selector, events)
    for number, client in enumerate(clients):
        after = "nothing" if client.ended is None else f"{1000 * client.ended:.0f} ms {client.answer[:12]!r}"
        print(f"bad client {number}: {client.sent} bytes, got an error or a close after {after}", flush=True)


main()
