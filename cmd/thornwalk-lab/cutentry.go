package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/internal/entrydaemon"
	"github.com/thornwalk/thornwalk/lab/pathfault"
	"github.com/thornwalk/thornwalk/transport/network"
)

// cutEntryCommand runs an entry daemon whose paths a soak can cut. It has the daemon's own name, so that
// this program can replace thornwalkd.
func cutEntryCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "entry", ShortUsage: "thornwalk-lab entry", FlagSet: flag.NewFlagSet("entry", flag.ExitOnError),
		ShortHelp: "run an entry daemon with the cuts of paths that the file in " + pathfault.FileVariable + " tells",
		Exec: func(context.Context, []string) error {
			path := os.Getenv(pathfault.FileVariable)
			return entrydaemon.Run(func(inner network.Network) network.Network { return pathfault.Wrap(inner, path) })
		},
	}
}
