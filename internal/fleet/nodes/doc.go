// Package nodes contains the nodes that a scale run measures, real and hollow, and generates their configuration.
//
// A RealNode is a process of the real program. Package fleet starts it with StartRealNode and kills it with Stop. One
// goroutine for each node reads its log and waits until the process has exited; Stop waits for that goroutine.
//
// Hollows is the RPC service of many hollow nodes in one child process, which package fleet starts. A hollow node is
// the real module, event loop and discovery client, without sockets to clients and servers. Start starts two goroutines
// for each node, for its loop and its discovery client, which run until the process exits. Each call and each attempt
// has its own goroutine, which ends with it. Load starts the goroutines that make the calls, and Report waits for them.
package nodes
