package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/entry"
)

// rolloutCommand prints the state of a service's roll-out, as one entry node knows it.
func rolloutCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "rollout", ShortUsage: "thornwalk rollout SERVICE", FlagSet: o.flagSet("rollout"),
		ShortHelp: "show how far a service's move to another version is, as an entry node sees it",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return fmt.Errorf("name exactly one service: thornwalk rollout SERVICE")
			}
			status, err := o.client().EntryStatus(ctx)
			if err != nil {
				return err
			}
			rollout, found := status.Rollouts[arguments[0]]
			if !found {
				return fmt.Errorf("service %s: node %s has no record of a roll-out", arguments[0], status.Name)
			}
			return o.print(rollout, []string{"what", "value"}, rolloutRows(status, rollout))
		},
	}
}

func rolloutRows(status *entry.Status, rollout entry.RolloutStatus) [][]string {
	rows := [][]string{
		{"service", rollout.Service}, {"target version", rollout.Target}, {"step", rollout.Step}, {"why", rollout.Reason},
		{"time left, ms", fmt.Sprint(rollout.RemainingMS)}, {"requests since the order", fmt.Sprint(rollout.Requests)},
		{"of these to the target at most, until judged", fmt.Sprint(rollout.Exposed)},
		{"versions not used", fmt.Sprint(rollout.Excluded)}, {"stepped by", status.Scheduler},
	}
	if status.Scheduler == status.Name {
		rows = append(rows, []string{"evidence against the target", fmt.Sprintf("%.2f of 1, most on route %s", rollout.RegressionScore, rollout.RegressionRoute)})
	}
	for _, line := range rollout.Evidence {
		rows = append(rows, []string{"answers on route", line})
	}
	return rows
}
