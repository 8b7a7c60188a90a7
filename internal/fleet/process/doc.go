// Package process runs the child processes of a scale run, and reads what processes and the machine have used.
//
// A child is this program once more, started with its role as the last argument. Parent and child speak JSON-RPC on
// the child's standard input and output; the child ends when its input is closed, and the kernel kills it if the
// parent dies. StartChild starts one goroutine for each child, which waits for the end of the process, and another
// reads its replies; Stop waits until the process has ended. Package fleet starts and stops all children. Use of
// processor and memory is read from /proc.
package process
