// Package fleet measures on one machine what a fleet of nodes costs. It is the library behind the command
// fleetscale; no program that serves imports it or a package below it.
//
// Runner.Run measures one point, Runner.Sweep fits slopes over several, and Runner.Growth plays the same day at two
// sizes and compares what a node needs with the limits of the standing test. The packages below have the parts:
//
//   - plan: arguments, and what happens when;
//   - standin: the stand-in registry, which also plays the agents that lists are pushed to, and stand-in servers;
//   - nodes: real nodes, one process of the real program each, and hollow nodes, many in one process;
//   - load: clients and their calls;
//   - process: child processes, and what processes use;
//   - stats and report: the figures, and the reports of them.
//
// Imports go one way: plan, stats and process import none of the others; load imports stats; standin and nodes import
// load, plan and stats; report imports load, plan and stats; this package imports all, and the command imports this
// package, plan and report.
//
// Stand-ins and hollow nodes run in child processes, so that the use of each can be measured apart. A run starts its
// children, its real nodes and the goroutines of its activities, and waits for all of them before it returns, also
// after an error. All connections are on loopback addresses.
package fleet
