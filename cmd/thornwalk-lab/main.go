// Command thornwalk-lab runs thornwalk against embedded stand-ins: a demo, an
// emulated comparison of policies, load, and fleets of hollow nodes.
package main

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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "thornwalk-lab <subcommand> [flags]",
		ShortHelp:   "run thornwalk against embedded stand-ins",
		FlagSet:     flag.NewFlagSet("thornwalk-lab", flag.ExitOnError),
		Subcommands: []*ffcli.Command{demoCommand(), experimentCommand(), standinsCommand(), fleetCommand(), loadCommand(), capacityCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if err == nil {
		return
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "thornwalk-lab:", err)
	}
	os.Exit(1)
}
