// Package process runs the child processes of a scale run, and reads the resource usage of processes and the machine.
//
// A child runs the same program as its parent, with its role as the last argument. Parent and child communicate by
// JSON-RPC over the child's standard input and output. The child exits when its input is closed, and the kernel kills
// it if the parent dies. StartChild starts two goroutines for each child: one waits for the process to exit, the other
// reads its replies. Stop waits until the process has exited. Package fleet starts and stops all children.
//
// CPU and memory usage is read from /proc.
package process
