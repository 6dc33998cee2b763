"""Distinct types for names and ids, shared by all packages."""

from typing import NewType

AvailabilityZone = NewType('AvailabilityZone', str)
ClientAddress = NewType('ClientAddress', str)
PeerAddress = NewType('PeerAddress', str)
Epoch = NewType('Epoch', str)
JobName = NewType('JobName', str)
PoolName = NewType('PoolName', str)
SubmissionId = NewType('SubmissionId', str)
TaskIndex = NewType('TaskIndex', int)
TeamName = NewType('TeamName', str)
UpstreamName = NewType('UpstreamName', str)
Version = NewType('Version', int)
