// Package fleet measures the resource usage of a fleet of nodes on one machine. It is the library behind the command
// fleetscale; no program that serves requests imports it or a package below it.
//
// Runner.Run measures one point, Runner.Sweep fits slopes over several points, and Runner.Growth runs the same
// workload, a "day", at two sizes and compares the resource usage of a node with the limits of the operators' standing
// test (README.md). The packages below it are:
//
//   - plan: arguments and schedules;
//   - standin: the stand-in registry, which also acts as the agents that lists are pushed to, and stand-in servers;
//   - nodes: real nodes, each one process of the real program, and hollow nodes, many in one process;
//   - load: clients and load generators;
//   - process: child processes, and the resource usage of processes;
//   - stats and report: statistics and reports.
//
// Dependencies: plan, stats and process import none of the others; load imports stats; standin and nodes import load,
// plan and stats; report imports load, plan and stats; this package imports all, and the command imports this package,
// plan and report.
//
// Stand-ins and hollow nodes run in child processes, so that the usage of each can be measured separately. A run starts
// its children, its real nodes and the goroutines of its activities, and waits for all of them before it returns, also
// after an error. All connections are on loopback addresses.
package fleet
