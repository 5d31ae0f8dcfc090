package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/lab/capacity"
)

// capacityCommand prints the capacity tables, from recorded results of the fleet command.
func capacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("capacity", flag.ExitOnError)
	folder := flags.String("measurements", "docs/measurements", "folder of recorded runs of fleet")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "thornwalk-lab capacity [flags]", FlagSet: flags,
		ShortHelp: "work the tables of docs/CAPACITY.md out from recorded measurements",
		Exec: func(context.Context, []string) error {
			measurements, err := capacity.Load(*folder)
			if err != nil {
				return err
			}
			capacity.Write(os.Stdout, measurements)
			return nil
		},
	}
}
