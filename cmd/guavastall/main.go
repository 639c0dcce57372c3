// Command guavastall runs a node of the mesh and the operator's commands.
//
// Exit codes: 0 success; 1 internal error; 2 invalid input; 3 temporarily
// rejected; 4 not authorised; 5 base revision is stale; 6 the platform's log is
// unavailable or the node is unreachable; 7 not in force everywhere within the
// wait.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// version is the version that the version command prints.
const version = "0.1.0"

// Exit codes of errors without an error kind.
const (
	exitInternal      = 1
	exitUsage         = 2
	exitUnreachable   = 6
	exitNotEverywhere = 7
)

type versionCmd struct{}

// arguments holds the parsed command line. Only the field of the selected command
// is set.
type arguments struct {
	Node       *nodeCmd       `arg:"subcommand:node" help:"run a node beside a target"`
	Sidecar    *sidecarCmd    `arg:"subcommand:sidecar" help:"run a node on a platform with a store"`
	Check      *checkCmd      `arg:"subcommand:check" help:"check a document without publishing it"`
	Publish    *publishCmd    `arg:"subcommand:publish" help:"publish a document"`
	Choose     *chooseCmd     `arg:"subcommand:choose" help:"choose a profile or version for a service"`
	Moves      *movesCmd      `arg:"subcommand:moves" help:"list moves and their progress"`
	Status     *statusCmd     `arg:"subcommand:status" help:"show the status of a node or the mesh"`
	DataCentre *dataCentreCmd `arg:"subcommand:datacentre" help:"take a data centre out of service or back in"`
	Drain      *drainCmd      `arg:"subcommand:drain" help:"shut a node down gracefully"`
	Demo       *demoCmd       `arg:"subcommand:demo" help:"run a small deployment in one process and check it"`
	Trace      *traceCmd      `arg:"subcommand:trace" help:"print the log entries of a request from the logs of nodes"`
	Version    *versionCmd    `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text that is printed above the usage.
func (arguments) Description() string {
	return "guavastall distributes configuration in a service mesh and routes its calls"
}

// command is a subcommand.
type command interface {
	// run executes the command and writes its output.
	run(ctx context.Context, stdout, stderr io.Writer) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var ar arguments
	parser, err := arg.NewParser(arg.Config{Program: "guavastall", Out: stderr}, &ar)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitInternal
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return 0
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "guavastall:", err)
		return exitUsage
	}
	switch cmd := parser.Subcommand().(type) {
	case *versionCmd:
		_, _ = fmt.Fprintln(stdout, "guavastall", version)
		return 0
	case command:
		return printError(cmd.run(ctx, stdout, stderr), stderr)
	default:
		parser.WriteHelp(stderr)
		return exitUsage
	}
}
