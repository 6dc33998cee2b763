"""Steps about TLS on the client port."""

import contextlib
import copy
import datetime
import functools
import ipaddress
import json
import pathlib
import ssl
import subprocess
import sys
import tempfile
from http import HTTPStatus, client

import behave
import settings_steps
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from guavaroad_standins import fleet, processes

DAY = datetime.timedelta(days=1)


def self_signed(key, name, days):
    common_name = x509.NameAttribute(x509.NameOID.COMMON_NAME, name)
    subject = x509.Name([common_name])
    now = datetime.datetime.now(datetime.UTC)
    subject_ip = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    builder = x509.CertificateBuilder(
        issuer_name=subject,
        subject_name=subject,
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=now - 3 * DAY,
        not_valid_after=now + days * DAY,
    )
    builder = builder.add_extension(
        x509.SubjectAlternativeName([subject_ip]), critical=False
    )
    builder = builder.add_extension(
        x509.BasicConstraints(ca=True, path_length=None), critical=True
    )
    return builder.sign(key, hashes.SHA256())


def write_pair(folder, name, *, days=1):
    """Write a self-signed certificate for 127.0.0.1 and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = self_signed(key, name, days)
    pem = serialization.Encoding.PEM
    (folder / f'{name}.pem').write_bytes(certificate.public_bytes(pem))
    (folder / f'{name}.key').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return section(folder, name)


def section(folder, name):
    return {
        'certificate_file': str(folder / f'{name}.pem'),
        'key_file': str(folder / f'{name}.key'),
        'ca_file': str(folder / f'{name}.pem'),
    }


def new_folder():
    return pathlib.Path(tempfile.mkdtemp(prefix='guavaroad-tls-'))


class TlsFleet(fleet.Fleet):
    """A fleet whose client ports use TLS."""

    def wait_ready(self, instance):
        """Wait until an instance is ready."""
        processes.wait_until(
            functools.partial(self.ready, instance), 'ready over https'
        )

    def ready(self, instance):
        """Return whether `/readyz` answers with 200."""
        ssl_context = ssl.create_default_context(
            cafile=self.plan.settings['tls']['ca_file']
        )
        https_connection = client.HTTPSConnection(
            instance.address, context=ssl_context
        )
        try:
            with contextlib.closing(https_connection) as connection:
                connection.request('GET', '/readyz')
                return connection.getresponse().status == HTTPStatus.OK
        except OSError:
            return False


@behave.given('a fleet of 2 availability zones with TLS on the client ports')
def given_tls_fleet(context):
    context.tls = write_pair(new_folder(), 'fleet')
    plan = fleet.FleetPlan(settings={'tls': context.tls})
    context.fleet = TlsFleet(plan=plan)
    context.fleet.start()


@behave.given('a certificate and its key')
def given_pair(context):
    context.tls = write_pair(new_folder(), 'own')


@behave.given('the TLS settings have {change}')
def given_change(context, change):
    folder = new_folder()
    text = folder / 'text.pem'
    text.write_text('no certificate')
    other = write_pair(folder, 'other')
    tls_settings = copy.deepcopy(context.tls)
    match change:
        case 'no certificate file':
            tls_settings['certificate_file'] = str(folder / 'nowhere.pem')
        case 'a foreign key':
            tls_settings['key_file'] = other['key_file']
        case 'an expired certificate':
            tls_settings = write_pair(folder, 'expired', days=-1)
        case 'text instead of a key':
            tls_settings['key_file'] = str(text)
        case 'text instead of a CA':
            tls_settings['ca_file'] = str(text)
    settings_steps.given_field(context, 'tls', json.dumps(tls_settings))


def call_https(context, token, instance, *arguments):
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'guavaroadctl.main',
            f'--address=https://{instance.address}',
            f'--token={token}',
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=settings_steps.CALL_TIMEOUT_S,
        check=False,
    )


@behave.when(
    'the command line patches and submits over https to every instance'
)
def when_submitted_over_https(context):
    trusted = context.tls['ca_file']
    call = functools.partial(call_https, context)
    trust = f'--ca_file={trusted}'
    folder = new_folder()
    patch = folder / 'patch.json'
    patch.write_text(
        '{"teams": {"office": {}}, "jobs": {"render": {"teams": ["office"]}}}'
    )
    tasks = folder / 'tasks.json'
    tasks.write_text('[{"run_ms": 5}]')
    first, second = context.fleet.instances
    operator = fleet.OPERATOR_TOKEN
    arguments = [trust, 'config', 'patch', '0', str(patch)]
    patched = call(operator, first, *arguments)
    waited = call(operator, second, trust, 'config', 'wait', '1')
    assert not patched.returncode + waited.returncode, (patched, waited)
    submit = [trust, 'submit', 'render', str(tasks)]
    own = call('office-secret', first, *submit)
    minted = own.stderr.split()[-1]
    again = [f'--submission_id={minted}', *submit]
    context.submissions = [own, call('office-secret', second, *again)]


@behave.when(
    'guavaroadctl reads the configuration without trusting the certificate'
)
def when_untrusted(context):
    completed = call_https(
        context,
        fleet.OPERATOR_TOKEN,
        context.fleet.instances[0],
        'config',
        'show',
    )
    context.exit_code = completed.returncode
    context.printed = completed.stdout
    context.noted = completed.stderr


@behave.then('each submission prints "{text}"')
def then_each_prints(context, text):
    for completed in context.submissions:
        assert text in completed.stdout, completed
