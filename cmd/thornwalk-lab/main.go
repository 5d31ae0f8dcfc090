// Command thornwalk-lab runs demos, experiments, load and fault injection against embedded
// stand-ins of the platform, and evaluates recorded runs. It is not needed in production.
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
		Subcommands: []*ffcli.Command{demoCommand(), entryDemoCommand(), experimentCommand(), standinsCommand(), fleetCommand(), loadCommand(), capacityCommand(), soakCommand(), lossesCommand(), cutEntryCommand(), replicaCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	command.Run(root)
}
