// Package standin has the stand-ins of a scale run: for discovery a registry, which also plays the agents that lists
// are pushed to, and the servers of chains and of growth days. Rotation makes the changes of a list.
//
// RegistryHost, Servers and ListedServers are RPC services, which package fleet runs in child processes and calls by
// package process. A stand-in owns its listeners on loopback addresses and starts a goroutine for each; net/http starts
// one for each connection, and the registry one more for each call that waits. Those of a Registry end by Close, those
// of the servers with their process, unless ListedServers.Close ends them before.
//
// Lists have the form that PROTOCOL describes. The agents read the registry's lists in memory, so the traffic between
// the registry and its agents is not measured. Bytes are of TCP payload, if not said otherwise.
package standin
