package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/entry"
)

// storeCommand prints what an entry node knows of the platform's store: its position, whether
// it was restored from a backup and whether it is down.
func storeCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "store", ShortUsage: "thornwalk store", FlagSet: o.flagSet("store"),
		ShortHelp: "show how far an entry node knows the platform's store, and whether that came back from a copy",
		Exec: func(ctx context.Context, _ []string) error {
			status, err := o.client().EntryStatus(ctx)
			if err != nil {
				return err
			}
			rows := storeRows(status)
			return o.print(rows, []string{"what", "value"}, rows)
		},
	}
}

func storeRows(status *entry.Status) [][]string {
	restored := "no"
	if status.Restored > 0 {
		restored = fmt.Sprintf("%d ms ago: what it lists may be older than what nodes know", status.Restored)
	}
	return [][]string{
		{"node", status.Name}, {"era", fmt.Sprint(status.Era)}, {"revision", fmt.Sprint(status.Revision)},
		{"came back from a copy just now", restored}, {"away", fmt.Sprint(status.StoreDown)},
		{"age of the latest news, ms", fmt.Sprint(status.UpdatesAge)}, {"configuration", fmt.Sprint(status.Version)},
	}
}
