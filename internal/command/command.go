// Package command runs the command line of a program.
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

// Run parses the program's arguments and runs the selected command. An interrupt or SIGTERM cancels
// the command's context. On failure it prints the error to standard error and exits with code 1.
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
