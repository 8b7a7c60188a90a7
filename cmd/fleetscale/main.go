// Command fleetscale measures the resource usage of a fleet of nodes: how traffic, CPU time and memory grow with the
// number of listed endpoints, the rate of their changes and the number of nodes; how a fleet recovers from storms; and
// how much latency a chain of nodes adds to a request. Everything runs on the loopback addresses of one machine.
//
// The exit status is 0 after a successful run, 1 after a failed run or a signal, and 2 for invalid arguments. The
// option --help lists the arguments, and docs/CAPACITY.md contains results.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"basaltdrum/internal/fleet"
	"basaltdrum/internal/fleet/plan"
	"basaltdrum/internal/fleet/report"
)

// Exit statuses.
const (
	exitFailed = 1 // the run failed or was ended by a signal
	exitUsage  = 2 // invalid arguments
)

// output holds the arguments that select where the report is written.
//
//nolint:lll // a struct tag is one string
type output struct {
	JSON string `name:"json" help:"Write the JSON report to this file, not to standard output." type:"path" placeholder:"FILE"`
}

// singleRun holds the arguments of the command run.
type singleRun struct {
	plan.Args `embed:""`
	output    `embed:""`
}

// Validate checks the arguments. Kong calls it.
func (s singleRun) Validate() error { return s.Check() }

// sweep holds the arguments of the command sweep.
type sweep struct {
	plan.Args `embed:""`
	output    `embed:""`
	Over      string `help:"What to vary: ${enum}." enum:"nodes,servers,changes" required:""`
	Values    []int  `help:"Its values, at least two different ones." required:""`
}

// Validate checks the arguments of each run of the sweep. Kong calls it.
func (s sweep) Validate() error {
	_, err := plan.SweepPlan(s.Args, s.Over, s.Values)
	return err
}

// growth holds the arguments of the command growth.
type growth struct {
	plan.GrowthArgs `embed:""`
	output          `embed:""`
}

// Validate checks the arguments. Kong calls it.
func (g growth) Validate() error { return g.Check() }

// commands is the grammar of the command line for kong.
//
//nolint:lll // a struct tag is one string
type commands struct {
	Run    singleRun `cmd:"" default:"withargs" help:"Make one run, which measures one point."`
	Sweep  sweep     `cmd:"" help:"Make runs in a row that differ in one argument, and fit slopes."`
	Growth growth    `cmd:"" help:"Play the same day at the usual size and at many times the servers, and judge what a node needs more. Exits with an error if a row is over its limit."`
	Child  struct {
		Role string `arg:""`
	} `cmd:"" hidden:""`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// newParser returns the parser of the command line. It calls exit after it has printed the help.
func newParser(c *commands, stdout, stderr io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(c, kong.Name("fleetscale"), kong.Writers(stdout, stderr), kong.Exit(exit),
		kong.Description("Measures the resource usage of a fleet of nodes. "+
			"All connections are on this machine's loopback addresses."))
}

// run executes the command line and returns the exit status.
func run(args []string, stdout, stderr io.Writer) int {
	var c commands
	helpShown := false
	parser, err := newParser(&c, stdout, stderr, func(int) { helpShown = true })
	if err != nil {
		fmt.Fprintf(stderr, "fleetscale: %v\n", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return 0
	}
	if err != nil {
		fmt.Fprintf(stderr, "fleetscale: %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
		return exitUsage
	}
	if strings.HasPrefix(parsed.Command(), "child") {
		err = fleet.Child(c.Child.Role)
	} else {
		err = measure(parsed.Command(), c, args, stdout, stderr)
	}
	if err != nil {
		fmt.Fprintf(stderr, "fleetscale: %v\n", err)
		return exitFailed
	}
	return 0
}

// tableWriter is a report that can be written as a text table. It is also written as JSON.
type tableWriter interface{ Table(io.Writer) error }

// measure executes a command that measures, and writes its report. SIGINT and SIGTERM cancel it.
func measure(command string, c commands, args []string, stdout, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of the fleetscale executable: %w", err)
	}
	runner := fleet.Runner{ChildCommand: []string{self, "child"}, Log: slog.New(slog.NewTextHandler(stderr, nil))}
	switch command {
	case "sweep":
		result, err := runner.Sweep(ctx, c.Sweep.Args, c.Sweep.Over, c.Sweep.Values)
		result.Command = report.Command(args)
		return writeReport(ctx, result, err, c.Sweep.JSON, stdout)
	case "growth":
		result, err := runner.Growth(ctx, c.Growth.GrowthArgs)
		result.Command = report.Command(args)
		if err := writeReport(ctx, result, err, c.Growth.JSON, stdout); err != nil {
			return err
		}
		return result.Err()
	default:
		point, err := runner.Run(ctx, c.Run.Args)
		result := report.Report{Command: report.Command(args), Points: []report.Point{point}}
		return writeReport(ctx, result, err, c.Run.JSON, stdout)
	}
}

// writeReport writes a report unless the runs returned err: the table to standard output, and the JSON to file, or to
// standard output if file is empty.
func writeReport(ctx context.Context, result tableWriter, err error, file string, stdout io.Writer) error {
	if ctx.Err() != nil {
		return errors.New("ended by a signal")
	}
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	text = append(text, '\n')
	if err := result.Table(stdout); err != nil {
		return err
	}
	if file != "" {
		err = osReportWriter.write(file, text)
	} else {
		_, err = stdout.Write(text)
	}
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
