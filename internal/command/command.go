// Package command runs a command line to its exit code.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Run parses the program's arguments and runs the command that they name, until
// it ends or a signal ends its context. It does not return on failure.
func Run(root *ffcli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err == nil {
		return
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", root.FlagSet.Name(), err)
	}
	os.Exit(1)
}
