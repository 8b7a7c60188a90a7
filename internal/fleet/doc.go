// Package fleet measures what a fleet of nodes costs on one machine, as slopes: hollow nodes, many to a
// process, and real ones, a process each, beside stand-ins of the registry, of the agents that lists are
// pushed to, and of servers. Stand-ins and hollow nodes are processes of their own, so that what each part
// uses can be told apart; all talk over loopback addresses, and all end with the run.
//
// Lists here hold what PROTOCOL says; the agents get their news from the registry in memory, so the traffic
// between the registry and its agents is not among the figures. Bytes are of TCP payload.
package fleet
