package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnPadding is the number of spaces between two columns of the report.
const columnPadding = 2

// writeReport writes a table of how many requests each server served in each phase, and the node's traffic line.
func writeReport(out io.Writer, phases []phaseResult, trafficLine string) {
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprint(table, "phase\trequests")
	for index := range serverCount {
		fmt.Fprintf(table, "\t%s", serverName(index))
	}
	fmt.Fprintln(table, "\tnot served")
	for _, completed := range phases {
		served := map[string]int{}
		for _, outcome := range completed.results {
			served[outcome.server()]++
		}
		fmt.Fprintf(table, "%s\t%d", completed.name, len(completed.results))
		for index := range serverCount {
			fmt.Fprintf(table, "\t%d", served[serverName(index)])
		}
		fmt.Fprintf(table, "\t%d\n", served[""])
	}
	_ = table.Flush() // like fmt.Fprint, ignores a failed write to out
	fmt.Fprintf(out, "\nthe node's traffic line (docs/OPERATIONS.md explains it):\n%s\n", trafficLine)
}
