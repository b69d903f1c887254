#!/usr/bin/python3
"""Tests each gRPC method of the Remote Execution cache of the built service with an independent gRPC client.

    remote_execution_client.py FLAXKNOT PROTO_DIR SETTINGS [--bench]

The client is the grpc library. So the service's framing, HPACK and flow control are tested against another
implementation, not against the service's own.
protoc generates the message classes from rx.proto in PROTO_DIR.
With --bench, measures throughput instead and prints it as JSON.
"""
import atexit, hashlib, json, os, random, signal, socket, subprocess, sys, tempfile, time

import grpc

BINARY, PROTO, SETTINGS = sys.argv[1:4]
work = tempfile.mkdtemp(prefix="fk-rexec-")
subprocess.check_call(["protoc", "--proto_path", PROTO, "--python_out", work, "rx.proto"])
sys.path.insert(0, work)
import rx_pb2 as rx

RE = "/build.bazel.remote.execution.v2."
CAS, AC, BS = RE + "ContentAddressableStorage/", RE + "ActionCache/", "/google.bytestream.ByteStream/"
failures = 0


def check(condition, description):
    global failures
    if not condition:
        failures += 1
        print("FAIL", description, flush=True)


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def create_key(team):
    out = subprocess.check_output([BINARY, "key", team], text=True).split("\n")
    return out[1].strip(), json.loads(out[3])


class Service:
    def __init__(self, **extra):
        self.port = free_port()
        self.keys = {t: create_key(t) for t in ("red", "blue")}
        self.write_keys([e for _, e in self.keys.values()])
        self.file = os.path.join(work, "re.json")
        self.configure(**extra)
        settings = json.load(open(SETTINGS))
        settings["serve_on"], settings["mesh_addr"] = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.settings = os.path.join(work, "settings.json")
        json.dump(settings, open(self.settings, "w"))
        self.start()

    def configure(self, **extra):
        with open(self.file, "w") as f:
            json.dump(
                {
                    "listen": f"127.0.0.1:{self.port}",
                    "directory": os.path.join(work, "store"),
                    "keys": os.path.join(work, "keys.json"),
                    **extra,
                },
                f,
            )

    def write_keys(self, entries):
        with open(os.path.join(work, "keys.new"), "w") as f:
            json.dump({"keys": entries}, f)
        os.rename(os.path.join(work, "keys.new"), os.path.join(work, "keys.json"))

    def start(self):
        log = open(os.path.join(work, "log"), "a")
        self.process = subprocess.Popen(
            [BINARY, "serve", "--config", self.settings, "--remote-execution", self.file],
            stdout=log,
            stderr=log,
        )
        atexit.register(self.process.kill)  # kills the service even if a test raises an exception
        for _ in range(500):
            try:
                socket.create_connection(("127.0.0.1", self.port), 1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise SystemExit(
            "the service isn't listening after 500 attempts to connect:\n"
            + open(os.path.join(work, "log")).read()[-2000:]
        )

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Client:
    def __init__(self, service, team=None, token=None):
        self.channel = grpc.insecure_channel(
            f"127.0.0.1:{service.port}",
            options=[("grpc.max_receive_message_length", 64 << 20), ("grpc.use_local_subchannel_pool", 1)],
        )
        token = token or (team and service.keys[team][0])
        self.meta = [("authorization", "Bearer " + token)] if token else []
        self.team = team or ""

    def call(self, path, request, answer):
        f = self.channel.unary_unary(
            path, request_serializer=lambda m: m.SerializeToString(), response_deserializer=answer.FromString
        )
        return f(request, metadata=self.meta, timeout=60)

    def read(self, name, offset=0, limit=0):
        f = self.channel.unary_stream(
            BS + "Read",
            request_serializer=lambda m: m.SerializeToString(),
            response_deserializer=rx.ReadResponse.FromString,
        )
        return b"".join(
            r.data
            for r in f(
                rx.ReadRequest(resource_name=name, read_offset=offset, read_limit=limit),
                metadata=self.meta,
                timeout=60,
            )
        )

    def write_messages(self, messages):
        f = self.channel.stream_unary(
            BS + "Write",
            request_serializer=lambda m: m.SerializeToString(),
            response_deserializer=rx.WriteResponse.FromString,
        )
        return f(iter(messages), metadata=self.meta, timeout=60)

    def write(self, blob, upload="u1", chunk=100000, start=0, compressed=None, digest=None, finish=True):
        h, data = digest or sha256_hex(blob), compressed or blob
        kind = "compressed-blobs/zstd" if compressed is not None else "blobs"
        name = f"{self.team}/uploads/{upload}/{kind}/{h}/{len(blob)}"
        messages = []
        for at in range(start, max(len(data), 1), chunk):
            last = at + chunk >= len(data)
            messages.append(
                rx.WriteRequest(
                    resource_name=name if at == start else "",
                    write_offset=at,
                    finish_write=finish and last,
                    data=data[at : at + chunk],
                )
            )
        return self.write_messages(messages)


def sha256_hex(blob):
    return hashlib.sha256(blob).hexdigest()


def digest(blob):
    return rx.Digest(hash=sha256_hex(blob), size_bytes=len(blob))


def expect_error(code, call, *args, **kwargs):
    try:
        call(*args, **kwargs)
    except grpc.RpcError as e:
        check(e.code() == code, f"{code} expected, got {e.code()}: {e.details()}")
        return e
    check(False, f"{code} expected, but the call succeeded")


def find_missing(c, *blobs):
    r = c.call(
        CAS + "FindMissingBlobs",
        rx.FindMissingBlobsRequest(instance_name=c.team, blob_digests=map(digest, blobs)),
        rx.FindMissingBlobsResponse,
    )
    return [d.hash for d in r.missing_blob_digests]


def batch_update(c, *blobs):
    r = c.call(
        CAS + "BatchUpdateBlobs",
        rx.BatchUpdateBlobsRequest(
            instance_name=c.team, requests=[rx.BlobUpdate(digest=digest(b), data=b) for b in blobs]
        ),
        rx.BatchUpdateBlobsResponse,
    )
    return [x.status.code for x in r.responses]


C = grpc.StatusCode
rng = random.Random(7)


def test_calls(s):
    red = Client(s, "red")
    r = red.call(
        RE + "Capabilities/GetCapabilities",
        rx.GetCapabilitiesRequest(instance_name="red"),
        rx.ServerCapabilities,
    )
    check(
        list(r.cache_capabilities.digest_functions) == [1] and r.high_api_version.major == 2, "capabilities"
    )
    a, b, empty, big = b"a" * 10, b"b" * 1000, b"", rng.randbytes(3_000_000)
    check(
        find_missing(red, a, b, empty) == [sha256_hex(a), sha256_hex(b)], "all but the empty blob are missing"
    )
    check(batch_update(red, a, b, empty) == [0, 0, 0], "batch update")
    check(find_missing(red, a, b) == [], "no blob is missing after the batch update")
    wrong = red.call(
        CAS + "BatchUpdateBlobs",
        rx.BatchUpdateBlobsRequest(
            requests=[
                rx.BlobUpdate(digest=digest(b"x"), data=b"y"),
                rx.BlobUpdate(digest=rx.Digest(hash="zz", size_bytes=1), data=b"y"),
                rx.BlobUpdate(digest=digest(b"good"), data=b"good"),
            ]
        ),
        rx.BatchUpdateBlobsResponse,
    )
    check([x.status.code for x in wrong.responses] == [3, 3, 0], "each blob of a batch has its own status")
    got = red.call(
        CAS + "BatchReadBlobs",
        rx.BatchReadBlobsRequest(digests=[digest(a), digest(b"none"), digest(empty)]),
        rx.BatchReadBlobsResponse,
    )
    check([x.status.code for x in got.responses] == [0, 5, 0] and got.responses[0].data == a, "batch read")
    check(red.write(big).committed_size == len(big), "write in chunks")
    check(red.write(big, upload="u2").committed_size == len(big), "write of a blob that is already stored")
    name = f"red/blobs/{sha256_hex(big)}/{len(big)}"
    check(red.read(name) == big, "read")
    check(
        red.read(name, 1000, 50) == big[1000:1050] and red.read(name, len(big)) == b"",
        "read with offset and limit",
    )
    check(red.read(f"blobs/{EMPTY_HASH}/0") == b"", "read of the empty blob")
    expect_error(C.NOT_FOUND, red.read, f"red/blobs/{sha256_hex(b'nobody')}/6")
    expect_error(C.OUT_OF_RANGE, red.read, name, len(big) + 1)
    for bad in (
        "",
        "red/blobs/xyz/3",
        f"red/blobs/{sha256_hex(a)}/-1",
        f"red/blobs/{sha256_hex(a)}",
        f"a/b/c/blobs/{sha256_hex(a)}/10",
        f"red/blobs/{sha256_hex(a)}/10/more",
    ):
        expect_error(C.INVALID_ARGUMENT, red.read, bad)


EMPTY_HASH = sha256_hex(b"")


def test_uploads(s):
    red = Client(s, "red")
    blob = rng.randbytes(500_000)
    name = f"red/uploads/resumed/blobs/{sha256_hex(blob)}/{len(blob)}"
    expect_error(
        C.NOT_FOUND,
        red.call,
        BS + "QueryWriteStatus",
        rx.QueryWriteStatusRequest(resource_name=name),
        rx.QueryWriteStatusResponse,
    )
    expect_error(
        C.INVALID_ARGUMENT, red.write_messages, [rx.WriteRequest(resource_name=name, data=blob[:200_000])]
    )
    q = red.call(
        BS + "QueryWriteStatus", rx.QueryWriteStatusRequest(resource_name=name), rx.QueryWriteStatusResponse
    )
    check(q.committed_size == 200_000 and not q.complete, "an unfinished upload keeps its committed size")
    expect_error(
        C.INVALID_ARGUMENT,
        red.write_messages,
        [rx.WriteRequest(resource_name=name, write_offset=5, data=b"x")],
    )
    r = red.write_messages(
        [rx.WriteRequest(resource_name=name, write_offset=200_000, data=blob[200_000:], finish_write=True)]
    )
    check(
        r.committed_size == len(blob) and red.read(f"red/blobs/{sha256_hex(blob)}/{len(blob)}") == blob,
        "the upload is resumed",
    )
    q = red.call(
        BS + "QueryWriteStatus", rx.QueryWriteStatusRequest(resource_name=name), rx.QueryWriteStatusResponse
    )
    check(q.complete, "a finished upload is complete")
    mismatched = b"l" * 1000
    expect_error(C.INVALID_ARGUMENT, red.write, mismatched, "lie", digest=sha256_hex(b"other"))
    expect_error(
        C.INVALID_ARGUMENT,
        red.write_messages,
        [
            rx.WriteRequest(
                resource_name=f"red/uploads/x/blobs/{sha256_hex(mismatched)}/10",
                data=mismatched,
                finish_write=True,
            )
        ],
    )
    expect_error(
        C.INVALID_ARGUMENT,
        red.write_messages,
        [
            rx.WriteRequest(
                resource_name=f"red/uploads/x/blobs/{sha256_hex(mismatched)}/2000",
                data=mismatched,
                finish_write=True,
            )
        ],
    )
    check(
        find_missing(red, mismatched) == [sha256_hex(mismatched)],
        "data that doesn't match its digest isn't stored",
    )
    zstd = "/usr/bin/zstd"
    if os.path.exists(zstd):
        text = b"compressible " * 50_000
        packed = subprocess.run([zstd, "-c"], input=text, stdout=subprocess.PIPE, check=True).stdout
        check(red.write(text, "z", compressed=packed).committed_size == len(packed), "compressed write")
        check(
            red.read(f"red/blobs/{sha256_hex(text)}/{len(text)}") == text,
            "a blob written compressed is read uncompressed",
        )
        back = red.read(f"red/compressed-blobs/zstd/{sha256_hex(text)}/{len(text)}")
        plain = subprocess.run([zstd, "-dc"], input=back, stdout=subprocess.PIPE, check=True).stdout
        check(plain == text and len(back) < len(text) / 10, "compressed read")
        bomb = subprocess.run(
            [zstd, "-c"], input=b"\0" * 10_000_000, stdout=subprocess.PIPE, check=True
        ).stdout
        expect_error(C.INVALID_ARGUMENT, red.write, b"\0" * 100, "bomb", compressed=bomb)


def test_teams(s):
    red, blue, no_key = Client(s, "red"), Client(s, "blue"), Client(s)
    secret = b"red's own"
    check(batch_update(red, secret) == [0], "red stores a blob")
    check(find_missing(blue, secret) == [sha256_hex(secret)], "blue doesn't see red's blob")
    expect_error(C.NOT_FOUND, blue.read, f"blue/blobs/{sha256_hex(secret)}/{len(secret)}")
    other_team = expect_error(C.PERMISSION_DENIED, blue.read, f"red/blobs/{sha256_hex(secret)}/{len(secret)}")
    no_such_team = expect_error(
        C.PERMISSION_DENIED, blue.read, f"nosuch/blobs/{sha256_hex(secret)}/{len(secret)}"
    )
    check(
        other_team.details() == no_such_team.details(),
        "the error is the same for another team's instance and one that doesn't exist",
    )
    for c in (no_key, Client(s, token="guess")):
        expect_error(
            C.UNAUTHENTICATED,
            c.call,
            RE + "Capabilities/GetCapabilities",
            rx.GetCapabilitiesRequest(),
            rx.ServerCapabilities,
        )
        expect_error(
            C.UNAUTHENTICATED, c.call, "/no.such/Call", rx.GetCapabilitiesRequest(), rx.ServerCapabilities
        )
    expect_error(
        C.UNIMPLEMENTED, red.call, "/no.such/Call", rx.GetCapabilitiesRequest(), rx.ServerCapabilities
    )
    # key rotation: after a second key of the team is added to the file, both keys are valid
    new, entry = create_key("blue")
    entries = [e for _, e in s.keys.values()]
    s.write_keys(entries + [entry])
    deadline = time.time() + 20
    while time.time() < deadline:
        try:
            check(batch_update(Client(s, token=new), b"with the new key") == [0], "the new key is valid")
            break
        except grpc.RpcError:
            time.sleep(0.2)
    else:
        check(False, "the new key isn't valid within 20 s")
    check(find_missing(blue, secret) == [sha256_hex(secret)], "the old key is still valid")
    s.write_keys(entries)


def test_results(s):
    red, blue = Client(s, "red"), Client(s, "blue")
    out, inner = b"an output", b"in a tree"
    tree = rx.Tree(root=rx.Directory(files=[rx.FileNode(name="f", digest=digest(inner))])).SerializeToString()
    action = digest(b"action")
    result = rx.ActionResult(
        exit_code=0,
        output_files=[rx.OutputFile(path="o/x", digest=digest(out))],
        output_directories=[rx.OutputDirectory(path="d", tree_digest=digest(tree))],
    )
    get = lambda c: c.call(
        AC + "GetActionResult", rx.GetActionResultRequest(action_digest=action), rx.ActionResult
    )
    put = lambda c, r: c.call(
        AC + "UpdateActionResult",
        rx.UpdateActionResultRequest(action_digest=action, action_result=r),
        rx.ActionResult,
    )
    expect_error(C.NOT_FOUND, get, red)
    e = expect_error(C.FAILED_PRECONDITION, put, red, result)
    details = dict(e.trailing_metadata()).get("grpc-status-details-bin", b"")
    failure = rx.PreconditionFailure.FromString(rx.Status.FromString(details).details[0].value)
    check(
        {v.subject for v in failure.violations} == {f"blobs/{sha256_hex(b)}/{len(b)}" for b in (out, tree)},
        "each missing blob is named",
    )
    batch_update(red, out, tree)
    expect_error(C.FAILED_PRECONDITION, put, red, result)  # the file in the tree is still missing
    batch_update(red, inner)
    check(put(red, result) == result and get(red) == result, "a result is stored and returned")
    expect_error(C.NOT_FOUND, get, blue)
    for path in ("../x", "/x", "a//b", "a/./b", ""):
        expect_error(
            C.INVALID_ARGUMENT,
            put,
            red,
            rx.ActionResult(output_files=[rx.OutputFile(path=path, digest=digest(out))]),
        )
    # GetTree returns a shared directory once, splits the tree into pages, and leaves out missing directories
    leaf = rx.Directory(files=[rx.FileNode(name="x", digest=digest(out))]).SerializeToString()
    mid = rx.Directory(
        directories=[rx.DirectoryNode(name=n, digest=digest(leaf)) for n in "ab"]
    ).SerializeToString()
    gone = digest(b"never sent")
    root = rx.Directory(
        directories=[
            rx.DirectoryNode(name="m", digest=digest(mid)),
            rx.DirectoryNode(name="n", digest=digest(leaf)),
            rx.DirectoryNode(name="z", digest=gone),
        ]
    ).SerializeToString()
    batch_update(red, leaf, mid, root)

    def get_tree_pages(size):
        dirs, token, pages = [], "", 0
        while True:
            f = red.channel.unary_stream(
                CAS + "GetTree",
                request_serializer=lambda m: m.SerializeToString(),
                response_deserializer=rx.GetTreeResponse.FromString,
            )
            for r in f(
                rx.GetTreeRequest(root_digest=digest(root), page_size=size, page_token=token),
                metadata=red.meta,
            ):
                dirs += [d.SerializeToString() for d in r.directories]
                token, pages = r.next_page_token, pages + 1
            if not token:
                return dirs, pages

    check(get_tree_pages(0) == ([root, mid, leaf], 1), "the whole tree in one page")
    dirs, pages = get_tree_pages(1)
    check(dirs == [root, mid, leaf] and pages >= 3, f"the same tree in at least 3 pages: {pages}")


def test_malformed_input(s):
    red = Client(s, "red")
    raw = lambda path, data: red.channel.unary_unary(path)(data, metadata=red.meta, timeout=30)
    expect_error(C.INVALID_ARGUMENT, raw, CAS + "FindMissingBlobs", b"\xff\xff\xff\xff")
    expect_error(
        C.INVALID_ARGUMENT, raw, CAS + "FindMissingBlobs", b"\x12\x00" * 1_500_000
    )  # empty digests: 3 MB on the wire, within message_mb, but too large when parsed
    expect_error(C.RESOURCE_EXHAUSTED, raw, CAS + "FindMissingBlobs", b"\x12\x00" * 4_000_000)
    expect_error(
        C.INVALID_ARGUMENT,
        red.call,
        CAS + "FindMissingBlobs",
        rx.FindMissingBlobsRequest(digest_function=2),
        rx.FindMissingBlobsResponse,
    )
    for junk in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + rng.randbytes(2000),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00" * 20000,
    ):
        with socket.create_connection(("127.0.0.1", s.port), 5) as c:
            try:
                c.sendall(junk)
                c.settimeout(10)
                while c.recv(65536):
                    pass
            except OSError:
                pass
    check(find_missing(red) == [], "the service still answers after malformed input")


def test_eviction(s):
    """When red uploads more than the cache can hold, red's oldest blobs are evicted. The blobs of blue, which
    uses less, stay."""
    red, blue = Client(s, "red"), Client(s, "blue")
    small = [b"blue %d" % i for i in range(20)]
    check(batch_update(blue, *small) == [0] * 20, "blue's batch is stored")
    blobs = [rng.randbytes(1_000_000) for _ in range(12)]
    for b in blobs:
        check(batch_update(red, b) == [0], "each of red's blobs is stored")
    check(find_missing(blue, *small) == [], "none of blue's blobs was evicted")
    lost = find_missing(red, *blobs)
    check(
        0 < len(lost) < 12 and sha256_hex(blobs[-1]) not in lost and sha256_hex(blobs[0]) in lost,
        f"only some blobs were evicted, the oldest but not the newest: {len(lost)}",
    )
    e = expect_error(C.RESOURCE_EXHAUSTED, red.write, b"\0" * 9_000_000, "huge")
    details = dict(e.trailing_metadata()).get("grpc-status-details-bin", b"")
    check(
        rx.RetryInfo.FromString(rx.Status.FromString(details).details[0].value).retry_delay.seconds > 0,
        "the error has a retry delay",
    )


def test_crash_recovery(s):
    """The service is killed with SIGKILL at random times while blobs are uploaded. After the restart, each
    stored blob is served with its original contents, each acknowledged blob is stored, and no unfinished
    upload is left. If a blob's file is damaged, the blob isn't served, and is missing afterwards."""
    acknowledged = []
    s.configure(bytes_gb=1)  # large enough that no blob is evicted
    s.kill()
    s.start()
    for round_ in range(6):
        c = Client(s, "red")
        stop = time.time() + rng.uniform(0.02, 0.25)
        futures = []
        f = c.channel.unary_unary(
            CAS + "BatchUpdateBlobs",
            request_serializer=lambda m: m.SerializeToString(),
            response_deserializer=rx.BatchUpdateBlobsResponse.FromString,
        )
        while time.time() < stop:
            b = rng.randbytes(rng.randrange(1, 40_000))
            futures.append(
                (
                    b,
                    f.future(
                        rx.BatchUpdateBlobsRequest(requests=[rx.BlobUpdate(digest=digest(b), data=b)]),
                        metadata=c.meta,
                        timeout=10,
                    ),
                )
            )
            if len(futures) > 16:
                futures[-16][1].exception()
        s.kill()
        for b, future in futures:
            if future.exception() is None and future.result().responses[0].status.code == 0:
                acknowledged.append(b)
        s.start()
        c = Client(s, "red")
        root = os.path.join(work, "store", "blobs")
        sent = [b for b, _ in futures]
        gone = set(find_missing(c, *sent))
        for b in sent:
            if sha256_hex(b) not in gone:
                check(
                    c.read(f"blobs/{sha256_hex(b)}/{len(b)}") == b, "a stored blob is served as it was sent"
                )
        check(not gone & {sha256_hex(b) for b in acknowledged}, "each acknowledged blob is stored")
        check(os.listdir(os.path.join(work, "store", "half")) == [], "no unfinished upload is left")
    check(
        len(acknowledged) > 5,
        f"more than 5 blobs were acknowledged, so that the test is meaningful: {len(acknowledged)}",
    )
    # a blob whose file was damaged on the disk isn't served, and is missing from then on
    damaged_blob = b"to be damaged" * 100
    c = Client(s, "red")
    batch_update(c, damaged_blob)
    for d, _, files in os.walk(root):
        if sha256_hex(damaged_blob) in files:
            with open(os.path.join(d, sha256_hex(damaged_blob)), "r+b") as f:
                f.write(b"X")
    expect_error(C.DATA_LOSS, c.read, f"blobs/{sha256_hex(damaged_blob)}/{len(damaged_blob)}")
    check(find_missing(c, damaged_blob) == [sha256_hex(damaged_blob)], "a corrupt blob is removed")


def cpu_seconds(s):
    fields = open(f"/proc/{s.process.pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def bench(s):
    c, blob = Client(s, "red"), os.urandom(256 << 20)
    path = os.path.join(work, "plain")
    t = time.time()
    with open(path, "wb") as f:
        f.write(blob)
        f.flush()
        os.fsync(f.fileno())
    plain_write = time.time() - t
    t = time.time()
    open(path, "rb").read()
    plain_read = time.time() - t
    t = time.time()
    sha256_hex(blob)
    hashing = time.time() - t
    t, used = time.time(), cpu_seconds(s)
    c.write(blob, chunk=1 << 20)
    write, write_cpu = time.time() - t, cpu_seconds(s) - used
    t, used = time.time(), cpu_seconds(s)
    got = c.read(f"red/blobs/{sha256_hex(blob)}/{len(blob)}")
    read, read_cpu = (
        time.time() - t,
        cpu_seconds(s) - used,
    )  # `read` includes the client's time, `read_cpu` doesn't
    check(got == blob, "the blob is read as it was written")
    many = [digest(b"%d" % i) for i in range(20000)]
    t = time.time()
    for _ in range(5):
        c.call(
            CAS + "FindMissingBlobs",
            rx.FindMissingBlobsRequest(blob_digests=many),
            rx.FindMissingBlobsResponse,
        )
    find = (time.time() - t) / 100000
    mb = len(blob) / 1e6
    rss = [l for l in open(f"/proc/{s.process.pid}/status") if l.startswith("VmRSS")][0].split()[1]
    print(
        json.dumps(
            {
                "write_mb_s": round(mb / write),
                "write_mb_per_processor_s": round(mb / write_cpu),
                "read_mb_per_processor_s": round(mb / read_cpu),
                "plain_write_mb_s": round(mb / plain_write),
                "read_mb_s": round(mb / read),
                "plain_read_mb_s": round(mb / plain_read),
                "hash_mb_s": round(mb / hashing),
                "find_missing_per_s": round(1 / find),
                "resident_mb": int(rss) // 1024,
            }
        )
    )


if "--bench" in sys.argv:
    service = Service(bytes_gb=1)
    bench(service)
else:
    service = Service(bytes_gb=0.0078125)
    for test in (
        test_calls,
        test_uploads,
        test_teams,
        test_results,
        test_malformed_input,
        test_eviction,
        test_crash_recovery,
    ):
        test(service)
        print("done", test.__name__, flush=True)
service.kill()
log = open(os.path.join(work, "log")).read()
check(
    "Sanitizer" not in log and "CRITICAL" not in log and "runtime error" not in log,
    "the log has no sanitizer report and no CRITICAL line:\n" + log[-3000:],
)
subprocess.call(["rm", "-rf", work])
sys.exit(1 if failures else 0)
