#!/usr/bin/env python3
"""Sends one request to a cindercleat dispatcher and prints its tokens as they come.

    python3 -m venv env && env/bin/pip install -r requirements.txt
    env/bin/python client.py 127.0.0.1:7400 --profile caption-draft "a caption for this photograph"

The messages are compiled from the project's schema when the client starts; a program of your own would do that
once, with `python -m grpc_tools.protoc`.
"""

import argparse
import os
import pathlib
import sys
import tempfile

import grpc
from google.rpc import error_details_pb2, status_pb2
from grpc_tools import protoc

SCHEMA = pathlib.Path(__file__).resolve().parents[2] / "crates" / "protocol" / "proto"


def compiled():
    """The generated modules of the schema."""
    out = tempfile.mkdtemp()
    arguments = [f"-I{SCHEMA}", f"--python_out={out}", f"--grpc_python_out={out}"]
    if protoc.main(["protoc", *arguments, "cindercleat/v1/messages.proto"]) != 0:
        sys.exit("the schema did not compile")
    sys.path.insert(0, out)
    from cindercleat.v1 import messages_pb2, messages_pb2_grpc

    return messages_pb2, messages_pb2_grpc


def details(error):
    """The google.rpc details of a status, if there are any."""
    for key, value in error.trailing_metadata() or ():
        if key == "grpc-status-details-bin":
            for detail in status_pb2.Status.FromString(value).details:
                for kind in (error_details_pb2.RetryInfo, error_details_pb2.BadRequest):
                    message = kind()
                    if detail.Unpack(message):
                        yield message


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("address")
    parser.add_argument("prompt")
    parser.add_argument("--profile", default="caption-draft")
    parser.add_argument("--max-tokens", type=int, default=40)
    parser.add_argument("--timeout", type=float, default=10.0, help="seconds; the time to the deadline")
    asked = parser.parse_args()
    messages, services = compiled()
    request = messages.Submit(
        request_class=asked.profile,
        session=os.getpid(),
        prompt_tokens=len(asked.prompt.split()),
        max_tokens=asked.max_tokens,
        time_to_deadline_ms=1000 * asked.timeout,
        prompt=asked.prompt.encode(),
    )
    with grpc.insecure_channel(asked.address) as channel:
        try:
            for reply in services.RouterStub(channel).Run(request, timeout=asked.timeout):
                if reply.HasField("tokens"):
                    print(reply.tokens.text.decode(), end="", flush=True)
            print()
        except grpc.RpcError as error:
            print(f"\n{error.code().name}: {error.details()}", file=sys.stderr)
            for detail in details(error):
                print(detail, file=sys.stderr)
            # Only these say that nothing of it ran.
            harmless = error.code() in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.RESOURCE_EXHAUSTED)
            print("trying again does no harm" if harmless else "do not try again by itself", file=sys.stderr)
            sys.exit(1)


if __name__ == "__main__":
    main()
