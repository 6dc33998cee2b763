"""Steps about malformed requests and misbehaving clients."""

import functools
import io

import behave
import edge_support
import loguru
import msgspec
from twisted.internet import error, testing
from twisted.python import failure

from guavaroad.adapters import http_bodies, http_upstreams
from guavaroad.domain import attempts

GOOD = b'{"tasks": [{"payload": {"echo": 1}}]}'


def decoded(text):
    return msgspec.json.decode(text.partition('\r\n\r\n')[2])


def announce(connection, length):
    data = edge_support.request(body=b'x' * length)
    connection.send(data[:-length])


@behave.given('an instance in memory')
def given_instance(context):
    context.instance = edge_support.Instance()


@behave.given('an instance in memory that accepts bodies of {count:d} bytes')
def given_body_bound(context, count):
    context.instance = edge_support.Instance(body_bytes=count)


@behave.given('an instance in memory that buffers {count:d} bytes of bodies')
def given_held_bound(context, count):
    context.instance = edge_support.Instance(held_body_bytes=count)


@behave.given('an instance in memory that serves {count:d} connections')
def given_connection_bound(context, count):
    context.instance = edge_support.Instance(connections=count)


@behave.when(
    'a client sends {method} {path} with token {token} and body {body}'
)
def when_sends(context, method, path, token, body):
    data = b'' if body == 'none' else body.encode()
    context.answer_text = context.instance.ask(
        edge_support.request(method, path, data, token)
    )


@behave.when(
    'a client sends a submission with header {name} of bytes {hex_bytes}'
)
def when_header(context, name, hex_bytes):
    text = bytes.fromhex(hex_bytes).decode('latin-1')
    headers = {name.replace('-', '_'): text}
    context.answer_text = context.instance.ask(
        edge_support.request(body=GOOD, **headers)
    )


@behave.when('a client announces a body of {count:d} bytes')
def when_announces(context, count):
    context.connection = context.instance.connect()
    announce(context.connection, count)
    context.answer_text = context.connection.text()


@behave.when('a client sends {count:d} chunks of {size:d} bytes')
def when_chunks(context, count, size):
    context.connection = context.instance.connect()
    head = edge_support.request().replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    context.connection.send(head)
    for _ in range(count):
        context.connection.send(b'%x\r\n%s\r\n' % (size, b'x' * size))
    context.answer_text = context.connection.text()


@behave.when('{count:d} clients announce bodies of {size:d} bytes')
def when_many_announce(context, count, size):
    context.connections = [context.instance.connect() for _ in range(count)]
    for connection in context.connections:
        announce(connection, size)


@behave.when('a client sends a submission as a form')
def when_form(context):
    context.answer_text = context.instance.ask(
        edge_support.request(
            body=GOOD, Content_Type='application/x-www-form-urlencoded'
        )
    )


def malformed_json(what):
    malformed = {
        '100000 brackets': b'%s1%s' % (b'[' * 100_000, b']' * 100_000),
        'bytes not UTF-8': b'"\xff\xfe"',
        'half an object': b'{"echo":',
    }
    return malformed[what]


@behave.when('a client submits a payload of {what}')
def when_malformed_payload(context, what):
    body = b'{"tasks": [{"payload": %s}]}' % malformed_json(what)
    context.answer_text = context.instance.ask(edge_support.request(body=body))


@behave.when('an upstream answers with {what}')
def when_malformed_answer(context, what):
    context.outcome = http_upstreams.json_answer(
        malformed_json(what), leaving=False
    )


@behave.then('the attempt has failed')
def then_attempt_failed(context):
    assert isinstance(context.outcome, attempts.Failed), context.outcome


@behave.when(
    'an upstream sends {count:d} bytes to a client that accepts {bound:d}'
)
def when_oversized_answer(context, count, bound):
    reader = http_bodies.BodyReader(max_bytes=bound)
    context.transport = testing.StringTransport()
    reader.makeConnection(context.transport)
    for _ in range(count // 100):
        reader.dataReceived(b'x' * 100)
    reader.connectionLost(failure.Failure(error.ConnectionAborted()))
    context.reader = reader


@behave.then('the attempt is lost and the connection aborted')
def then_aborted(context):
    assert context.transport.disconnecting
    failures = []
    context.reader.finished.addErrback(failures.append)
    failures[0].trap(http_bodies.AnswerTooLargeError)
    assert context.reader.size <= context.reader.max_bytes + 100


@behave.when('a client submits {count:d} tasks')
def when_submits_many(context, count):
    tasks = [{'payload': index} for index in range(count)]
    body = msgspec.json.encode({'tasks': tasks})
    context.answer_text = context.instance.ask(edge_support.request(body=body))


@behave.when('a client sends one byte every second for {count:d} seconds')
def when_sends_slowly(context, count):
    context.connection = context.instance.connect()
    data = edge_support.request(body=GOOD)
    for index in range(count):
        context.connection.send(data[index : index + 1])
        context.instance.reactor.advance(1)
    context.answer_text = context.connection.text()


@behave.when('{count:d} clients connect')
def when_connect(context, count):
    context.connections = [context.instance.connect() for _ in range(count)]


def mint_key(context):
    text = context.instance.ask(
        edge_support.request(path='/v1/submission-ids', body=b'{"count":1}')
    )
    return decoded(text)['extra']['submission_ids'][0]


@behave.when('a client submits a task and disconnects')
def when_disconnects(context):
    context.key = mint_key(context)
    connection = context.instance.connect()
    connection.send(
        edge_support.request(body=GOOD, Idempotency_Key=context.key)
    )
    connection.disconnect()


@behave.when('the upstream answers')
def when_upstream_answers(context):
    for _, pending in context.instance.upstreams.attempts:
        pending.callback(attempts.Answered(body=msgspec.Raw(b'{"echo":1}')))
    context.instance.reactor.advance(1)


@behave.when('a handler raises an error with a secret in it')
def when_raises(context):
    context.log = io.StringIO()
    sink_id = loguru.logger.add(context.log)
    context.instance.app.configuration.show = functools.partial(int, 'sesame')
    context.answer_text = context.instance.ask(
        edge_support.request('GET', '/v1/config', token='operator-secret')
    )
    loguru.logger.remove(sink_id)


@behave.then('the answer has code {name} and its detail says {detail}')
def then_code(context, name, detail):
    answer = decoded(context.answer_text)
    assert answer['name'] == name, answer
    assert detail in answer['detail'], answer


@behave.then('a valid submission still starts its tasks')
def then_still_serving(context):
    context.instance.ask(edge_support.request(body=GOOD))
    assert len(context.instance.upstreams.attempts) == 1


@behave.then('the instance holds {count:d} bytes of bodies')
def then_holds(context, count):
    assert context.instance.site.held_bytes == count


@behave.then('after 2 seconds it has closed the connection and holds 0 bytes')
def then_closed(context):
    assert not context.connection.gone
    context.instance.reactor.advance(2)
    assert context.connection.gone
    assert context.instance.site.held_bytes == 0


@behave.then('the last client is refused with {name}')
def then_last_refused(context, name):
    *earlier, last = [connection.text() for connection in context.connections]
    assert decoded(last)['name'] == name
    assert not any(earlier)


@behave.then('after 2 seconds the instance has {count:d} connections')
def then_connections(context, count):
    context.instance.reactor.advance(2)
    assert context.instance.site.connection_count() == count


@behave.then('the body is kept in memory')
def then_in_memory(context):
    request = context.connection.channel.requests[0]
    assert isinstance(request.content, io.BytesIO)


@behave.then('the upstreams receive {count:d} task')
@behave.then('the upstreams receive {count:d} tasks')
def then_received(context, count):
    assert len(context.instance.upstreams.attempts) == count


@behave.then('the connection is closed')
def then_connection_closed(context):
    assert context.connection.gone


@behave.then('a resubmission gets the stored answer')
def then_stored_answer(context):
    text = context.instance.ask(
        edge_support.request(body=GOOD, Idempotency_Key=context.key)
    )
    assert decoded(text)['answers'] == [{'echo': 1}], text


@behave.then('the secret is in the log and not in the answer')
def then_secret(context):
    assert 'sesame' in context.log.getvalue()
    assert 'Traceback' in context.log.getvalue()
    assert 'sesame' not in context.answer_text
