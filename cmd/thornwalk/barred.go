package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// barredCommand lists the blocked requests (under which several replicas crashed) and
// unblocks one of them.
func barredCommand(o *options) *ffcli.Command {
	lift := &ffcli.Command{
		Name: "lift", ShortUsage: "thornwalk barred lift CONTENT", FlagSet: o.flagSet("lift"),
		ShortHelp: "let a barred request be sent again, at all entry nodes",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return fmt.Errorf("name one request by its fingerprint, from the column content of thornwalk barred")
			}
			if err := o.client().Unblock(ctx, arguments[0]); err != nil {
				return err
			}
			fmt.Println("lifted; it is barred again if three more replicas end under it")
			return nil
		},
	}
	return &ffcli.Command{
		Name: "barred", ShortUsage: "thornwalk barred [lift CONTENT]", FlagSet: o.flagSet("barred"), Subcommands: []*ffcli.Command{lift},
		ShortHelp: "show the requests that are not sent since replicas ended under them, as an entry node sees them",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return fmt.Errorf("unknown subcommand %q of thornwalk barred: see thornwalk barred -h", arguments[0])
			}
			status, err := o.client().EntryStatus(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, record := range status.Blocked {
				var incarnations []string
				for _, incarnation := range record.Incarnations {
					incarnations = append(incarnations, string(incarnation))
				}
				unchanged := time.Duration(record.Unchanged) * time.Millisecond
				rows = append(rows, []string{record.Fingerprint.String(), record.Part, record.Tenant, record.Service, record.Route, strings.Join(incarnations, " "), fmt.Sprint(record.Trials), unchanged.String()})
			}
			return o.print(status.Blocked, []string{"content", "part", "tenant", "service", "route", "replicas that ended", "trials", "unchanged for"}, rows)
		},
	}
}
