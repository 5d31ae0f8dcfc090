package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/soak"
)

// replicaCommand runs a stand-in replica as a process that a soak can stop and continue.
func replicaCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: soak.ReplicaCommand, ShortUsage: "thornwalk-lab " + soak.ReplicaCommand, FlagSet: flag.NewFlagSet(soak.ReplicaCommand, flag.ExitOnError),
		ShortHelp: "serve one replica that is described on standard input until that ends; for soaks",
		Exec:      func(context.Context, []string) error { return soak.ServeReplica(os.Stdin, os.Stdout) },
	}
}
