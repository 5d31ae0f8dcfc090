// Command thornwalk-lab runs thornwalk against embedded stand-ins: a demo, an
// emulated comparison of policies, load, and fleets of hollow nodes.
package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/command"
)

func main() {
	root := &ffcli.Command{
		ShortUsage:  "thornwalk-lab <subcommand> [flags]",
		ShortHelp:   "run thornwalk against embedded stand-ins",
		FlagSet:     flag.NewFlagSet("thornwalk-lab", flag.ExitOnError),
		Subcommands: []*ffcli.Command{demoCommand(), entryDemoCommand(), experimentCommand(), standinsCommand(), fleetCommand(), loadCommand(), capacityCommand(), soakCommand(), lossesCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	command.Run(root)
}
