package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// evacuationsCommand lists the evacuated zones and those whose evacuation was lifted. It can't
// change them: operators write the orders to a part of the platform's store that thornwalk may
// only read.
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
			for _, evacuation := range status.Evacuations {
				state := "taken back"
				if evacuation.Evacuated {
					state = "emptied"
				}
				rows = append(rows, []string{evacuation.Zone, state, evacuation.Position.String(), fmt.Sprint(evacuation.InProgress)})
			}
			return o.print(status.Evacuations, []string{"zone", "state", "since", "requests of this node there"}, rows)
		},
	}
}
