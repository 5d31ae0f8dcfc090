package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/entry"
)

// rolloutCommand shows the roll-out of a service as an entry node sees it.
func rolloutCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "rollout", ShortUsage: "thornwalk rollout SERVICE", FlagSet: o.flagSet("rollout"),
		ShortHelp: "show how far a service's move to another version is, as an entry node sees it",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return fmt.Errorf("name one service: thornwalk rollout SERVICE")
			}
			status, err := o.client().EntryStatus(ctx)
			if err != nil {
				return err
			}
			told, found := status.Rollouts[arguments[0]]
			if !found {
				return fmt.Errorf("%s: node %s knows of no roll-out of this service", arguments[0], status.Name)
			}
			return o.print(told, []string{"what", "value"}, rolloutRows(status, told))
		},
	}
}

func rolloutRows(status *entry.Status, told entry.RolloutStatus) [][]string {
	rows := [][]string{
		{"service", told.Service}, {"target version", told.Target}, {"step", told.Step}, {"why", told.Reason},
		{"time left, ms", fmt.Sprint(told.Left)}, {"requests since the order", fmt.Sprint(told.Requests)},
		{"of these to the target at most, until judged", fmt.Sprint(told.Exposed)},
		{"versions not used", fmt.Sprint(told.Excluded)}, {"stepped by", status.Scheduler},
	}
	if status.Scheduler == status.Name {
		rows = append(rows, []string{"evidence against the target", fmt.Sprintf("%.2f of 1, most on route %s", told.RegressionScore, told.RegressionRoute)})
	}
	for _, line := range told.Evidence {
		rows = append(rows, []string{"answers on route", line})
	}
	return rows
}
