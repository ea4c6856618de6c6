"""The gateway role: a VM that serves callers by itself.

One process takes a request from its caller to the searchers and back. The
platform holds the configuration and lists the searchers. Which module decides
what:

- process: `runner` starts `gateway`, the state of the process; `deployment`
  has its settings, `caller_answers` its answers and refusals
- a request: `queries` and `single_requests` run it, `parts` retries and hedges
  its calls, `calls` makes one call and `outcomes` has its results
- a searcher: `upstreams` lists the searchers, `domain_selection` chooses one,
  `searcher_limits` limits its requests, `searcher_connections` probes it
- owners, which call for other VMs: `assignment` and `owner_selection` choose
  them, `shard_groups` asks them, `owned_groups`, `group_runs` and
  `group_overload` run or decline what they are asked for
- limits of all VMs: `limit_sharing` divides the limits of searchers, `lending`
  extra calls; `crash_watch` and `trials` stop requests that crash searchers
- state: `platform_follower` reads the platform, `state_sharing` and `peers`
  pass it between VMs, `vm_removal` removes departed VMs
- faults: `isolation_detector`, `partition_detector`, `reachability_reports`
  and `health_checks` find out what this VM can't reach
- messages: `peer_messages` maps those between VMs to their handlers
- `places/`: `evacuations` decides which failure domains get no calls,
  `cold_searchers` how many requests a cold searcher takes
- `workspaces/`: `keys` finds the workspace of a request, `cap_sharing` admits
  requests up to its cap, `share_lending` lends shares of caps
"""
