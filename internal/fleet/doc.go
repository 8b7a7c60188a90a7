// Package fleet measures on one machine what a fleet of nodes costs. It is the library behind the command
// fleetscale; no program that serves imports it.
//
// A run starts nodes and stand-ins and measures CPU, memory, traffic and latency:
//
//   - hollow nodes, many in one process: the real module, event loop and discovery client, without sockets to
//     clients and servers;
//   - real nodes, one process of the real program each;
//   - a stand-in registry, which also plays the agents that lists are pushed to;
//   - stand-in servers.
//
// Runner.Run measures one point, Runner.Sweep fits slopes over several, and Runner.Growth plays the same day at two
// sizes and compares what a node needs with the limits of the standing test. Stand-ins and hollow nodes run in
// child processes, so that the use of each can be measured apart. All connections are on loopback addresses, and
// all processes end with the run.
//
// Lists have the form that PROTOCOL describes. The agents read the registry's lists in memory, so the traffic
// between the registry and its agents is not measured. Bytes are of TCP payload, if not said otherwise.
package fleet
