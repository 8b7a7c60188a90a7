// Package standin contains the stand-ins of a scale run. For discovery there is a registry, which also acts as the
// agents that lists are pushed to. For the back ends there are the servers of chains and of growth days. Rotation
// generates the changes of a list.
//
// RegistryHost, Servers and ListedServers are RPC services, which package fleet runs in child processes and calls
// through package process. A stand-in owns its listeners on loopback addresses and starts a goroutine for each;
// net/http starts one for each connection, and the registry one for each call for a list. Close stops the goroutines of
// a Registry. Those of the servers run until their process exits, unless ListedServers.Close stops them earlier.
//
// Lists have the format of the operators' protocol. The agents read the registry's lists in memory, so the traffic
// between the registry and its agents is not measured. Bytes are TCP payload unless stated otherwise.
package standin
