// Package nodes has the nodes that a scale run measures, real and hollow, and the configuration that both are given.
//
// A RealNode is a process of the real program. Package fleet starts it with StartRealNode and ends it with Stop; a
// goroutine for each node reads its log and waits for its end, which Stop waits for.
//
// Hollows is the RPC service of many hollow nodes in one child process, which package fleet starts. A hollow node is
// the real module, event loop and discovery client, without sockets to clients and servers. Start starts two goroutines
// for each node, its loop and its discovery client, which run to the end of the process; each call and each attempt has
// one of its own, which ends with it. Load starts those that make the calls, and Report waits for them.
package nodes
