package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/operator"
	"github.com/thornwalk/thornwalk/operator/story"
	"github.com/thornwalk/thornwalk/state/settings"
)

func statusCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "status", ShortUsage: "thornwalk status", ShortHelp: "show the state of the node", FlagSet: o.flagSet("status"),
		Exec: func(ctx context.Context, _ []string) error {
			status, err := o.client().Status(ctx)
			if err != nil {
				return err
			}
			rows := [][]string{
				{"node", status.Node}, {"zone", status.Zone}, {"ready", fmt.Sprint(status.Ready)}, {"draining", fmt.Sprint(status.Draining)},
				{"generation", fmt.Sprint(status.Generation)}, {"store answers", fmt.Sprint(status.StoreHealthy)},
				{"live nodes of the zone", fmt.Sprint(status.LiveNodes)}, {"in flight", fmt.Sprint(status.InFlight)},
				{"waiting", fmt.Sprint(status.Queued)}, {"keys kept", fmt.Sprint(status.Keys)}, {"heap bytes", fmt.Sprint(status.HeapBytes)},
			}
			for service, floor := range status.Floors {
				rows = append(rows, []string{"floor of " + service, floorText(floor)})
			}
			return o.print(status, []string{"what", "value"}, rows)
		},
	}
}

func floorText(floor scheduler.Floor) string {
	if floor.RefuseFrom == scheduler.NoRank {
		return "none"
	}
	return fmt.Sprintf("refuses ranks from %d, sheds from %d", floor.RefuseFrom, floor.ShedFrom)
}

func peersCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "peers", ShortUsage: "thornwalk peers", ShortHelp: "show the nodes of the zone as the node sees them", FlagSet: o.flagSet("peers"),
		Exec: func(ctx context.Context, _ []string) error {
			peers, err := o.client().Peers(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, peer := range peers {
				rows = append(rows, []string{peer.Member.Name, peer.StatusText, fmt.Sprint(peer.Member.Leaving), fmt.Sprint(peer.Generation), peer.Member.PeerAddress, peer.Member.CallerAddress})
			}
			return o.print(peers, []string{"node", "status", "leaving", "generation", "peers", "callers"}, rows)
		},
	}
}

func backendsCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "backends", ShortUsage: "thornwalk backends", ShortHelp: "show the replicas as the node sees them", FlagSet: o.flagSet("backends"),
		Exec: func(ctx context.Context, _ []string) error {
			backends, err := o.client().Backends(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, backend := range backends {
				rows = append(rows, []string{
					string(backend.Replica.ID), backend.Replica.Service, backend.Replica.Zone, backend.Replica.HardwareGeneration,
					fmt.Sprintf("%d+%d/%d", backend.Report.Running, backend.Report.Waiting, backend.Report.Slots), fmt.Sprint(backend.InFlight),
					fmt.Sprint(time.Duration(backend.AgeMS) * time.Millisecond), fmt.Sprintf("%.2f", backend.Slowdown), stateText(backend.Replica.Leaving, backend.Closed, backend.Suspended),
				})
			}
			return o.print(backends, []string{"replica", "service", "zone", "generation", "running+waiting/slots", "own", "report age", "slowdown", "state"}, rows)
		},
	}
}

func stateText(leaving, closed, suspended bool) string {
	switch {
	case leaving:
		return "leaving"
	case closed:
		return "closed"
	case suspended:
		return "suspended"
	}
	return "open"
}

// explainLogs prints the events of a request from log files, whose names are separated by
// commas; - means standard input.
func explainLogs(id, fileNames string) error {
	var readers []io.Reader
	for _, name := range strings.Split(fileNames, ",") {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close()
		readers = append(readers, file)
	}
	requestStory, err := story.Read(id, readers...)
	if err != nil {
		return err
	}
	requestStory.Write(os.Stdout)
	return nil
}

func explainCommand(o *options) *ffcli.Command {
	flags := o.flagSet("explain")
	logs := flags.String("logs", "", "log files of the nodes, separated by commas; - for standard input")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "thornwalk explain [-logs FILE,...] REQUEST|CONTENT", ShortHelp: "show why the nodes decided as they did; at entry nodes, why a request was rejected", FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.New("name exactly one request: by its id, from the header Thornwalk-Request-Id, or at entry nodes by the id or content of its log lines")
			}
			if *logs != "" {
				return explainLogs(arguments[0], *logs)
			}
			found, err := o.client().Rejections(ctx, arguments[0])
			if err == nil {
				return o.printRejections(found)
			}
			if !errors.Is(err, operator.ErrNoSuchPath) {
				return err
			}
			decisions, err := o.client().Explain(ctx, arguments[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, decision := range decisions {
				rows = append(rows, []string{decision.Time.Format(time.RFC3339Nano), string(decision.Verdict), string(decision.Reason), string(decision.Replica), decision.Waited.String(), ""})
				for _, candidate := range decision.Candidates {
					rows = append(rows, []string{"", "candidate", "", string(candidate.Replica), candidate.Wait.Round(time.Millisecond).String(),
						fmt.Sprintf("first token %s, whole %s, cached %d, score %.3f", candidate.FirstToken.Round(time.Millisecond), candidate.Completion.Round(time.Millisecond), candidate.CachedTokens, candidate.Score)})
				}
			}
			return o.print(decisions, []string{"time", "verdict", "reason", "replica", "waited", "prediction"}, rows)
		},
	}
}

func drainCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "drain", ShortUsage: "thornwalk drain", ShortHelp: "stop the node as planned; no request is cut",
		Exec: func(ctx context.Context, _ []string) error {
			if err := o.client().Drain(ctx); err != nil {
				return err
			}
			fmt.Println("the node is draining; its daemon ends when the last request has")
			return nil
		},
	}
}

// placeCommand sets how many engines of each zone serve a model. It writes a setting, so the
// number is stored and reaches every placement coordinator.
func placeCommand(o *options) *ffcli.Command {
	return &ffcli.Command{
		Name: "place", ShortUsage: "thornwalk place SERVICE MODEL REPLICAS", ShortHelp: "have a number of engines of each zone hold a model",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 3 {
				return errors.New("got the wrong number of arguments: name a service, a model and a number of engines")
			}
			if _, err := strconv.Atoi(arguments[2]); err != nil {
				return fmt.Errorf("%q is not a number of engines", arguments[2])
			}
			path := strings.Join([]string{settings.SectionServices, arguments[0], "models", arguments[1]}, "/")
			return o.submitEdits(ctx, true, settingsync.Edit{Path: path, Key: "replicas", Text: arguments[2]})
		},
	}
}

// submitEdits submits the edits as a change of the current generation.
func (o *options) submitEdits(ctx context.Context, wait bool, edits ...settingsync.Edit) error {
	_, reply, err := o.client().Settings(ctx)
	if err != nil {
		return err
	}
	return o.submitChange(ctx, wait, reply.Generation, edits)
}

// submitChange submits a change based on generation base and, if wait is true, waits for its
// activation.
func (o *options) submitChange(ctx context.Context, wait bool, base uint64, edits []settingsync.Edit) error {
	record, err := o.client().Change(ctx, settingsync.Change{ID: uuid.NewString(), Author: currentUser(), Base: base, Edits: edits})
	if err != nil {
		return err
	}
	fmt.Printf("accepted as generation %d\n", record.Generation)
	if !wait {
		return nil
	}
	return o.awaitActivation(ctx, record.Generation)
}
