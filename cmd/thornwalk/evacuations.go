package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// evacuationsCommand shows which zones get nothing by the operators' order. The order itself is
// written to the platform's store, where the system may not write.
func evacuationsCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "evacuations", ShortUsage: "thornwalk evacuations", FlagSet: o.flagSet("evacuations"),
		ShortHelp: "show the zones that were emptied or taken back, and what of an entry node's requests still runs there",
		Exec: func(ctx context.Context, _ []string) error {
			status, err := o.client().EntryStatus(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, told := range status.Evacuations {
				state := "taken back"
				if told.Evacuated {
					state = "emptied"
				}
				rows = append(rows, []string{told.Zone, state, told.Position.String(), fmt.Sprint(told.InProgress)})
			}
			return o.print(status.Evacuations, []string{"zone", "state", "since", "requests of this node there"}, rows)
		},
	}
}
