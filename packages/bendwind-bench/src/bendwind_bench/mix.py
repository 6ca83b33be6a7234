"""Send a deployment's own mix of requests and print the results."""

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.deployment import find_description, run_deployment
from bendwind_bench.reports import format_summary_table


async def run_mix(name: str, rate: float, seconds: float, workers: int, seed: int, direct: bool):
    """Run the mix of requests without faults; return the exit code."""
    description, _ = find_description(name)
    async with run_deployment(description, direct, seed) as deployment:
        campaign = Campaign(
            name="mix",
            rate=rate,
            duration_s=seconds,
            kinds=description.requests,
            direct=deployment.direct_addresses() if direct else {},
            seed=seed,
            workers=workers,
            client_delay_ms=description.client_delay_ms,
        )
        samples, verdict = await run_campaign(deployment, campaign)
    print(format_summary_table(samples, verdict))
    print("\n".join(verdict.violations[:10]))
    return 0 if verdict.is_ok else 1
