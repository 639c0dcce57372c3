// Command guavastall runs a node of the mesh and the operator's commands.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// version is the version printed by the version command.
const version = "0.1.0"

type versionCmd struct{}

type arguments struct {
	Version *versionCmd `arg:"subcommand:version" help:"print the version"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	var ar arguments
	parser, err := arg.NewParser(arg.Config{Program: "guavastall", Out: stderr}, &ar)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	if err := parser.Parse(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	if ar.Version != nil {
		_, _ = fmt.Fprintln(stdout, "guavastall", version)
		return 0
	}
	parser.WriteHelp(stderr)
	return 2
}
