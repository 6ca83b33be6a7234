"""Provide deployments of real processes on loopback, and fault injection."""

from bendwind_bench.deployment.description import (
    DeploymentDescription,
    ServiceDescription,
    find_description,
)
from bendwind_bench.deployment.faults import Action, Fault, inject_fault, inject_faults
from bendwind_bench.deployment.layout import Layout, Member, make_layout
from bendwind_bench.deployment.process import Process
from bendwind_bench.deployment.runner import RUN_FOLDER, Deployment, NotReadyError, run_deployment

__all__ = [
    "RUN_FOLDER",
    "Action",
    "Deployment",
    "DeploymentDescription",
    "Fault",
    "Layout",
    "Member",
    "NotReadyError",
    "Process",
    "ServiceDescription",
    "find_description",
    "inject_fault",
    "inject_faults",
    "make_layout",
    "run_deployment",
]
