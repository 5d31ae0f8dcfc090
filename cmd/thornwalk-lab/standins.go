package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/thornwalk/thornwalk/examples"
	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Loopback ports of the example deployments. Those of the platform are fixed; each node adds its
// number to the base port of each interface.
const (
	storePort        = 7379
	machinesPort     = 7380
	callerPortBase   = 8100
	peerPortBase     = 8200
	operatorPortBase = 8300
)

// standinsCommand serves the store, the machine list and the back ends of an example deployment.
func standinsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standins", flag.ExitOnError)
	deployment := flags.String("deployment", "agency", "agency or coop")
	return &ffcli.Command{
		Name: "standins", ShortUsage: "thornwalk-lab standins [flags]", FlagSet: flags,
		ShortHelp: "serve the platform and back ends of a deployment for real daemons on loopback",
		Exec: func(ctx context.Context, _ []string) error {
			logging.Discard()
			selected, known := workload.ByName(*deployment)
			if !known {
				return fmt.Errorf("unknown deployment %q: choose agency or coop", *deployment)
			}
			return serveStandins(ctx, &selected)
		},
	}
}

// serveStandins prints the command that starts each node and blocks until ctx is done.
func serveStandins(ctx context.Context, deployment *workload.Deployment) error {
	tree, err := examples.Settings(deployment.Name)
	if err != nil {
		return err
	}
	c, err := cluster.StartStandins(ctx, cluster.Options{
		Zones: deployment.Zones, EngineService: deployment.Service, Model: deployment.Model, ZoneEngines: deployment.Engines,
		PlainService: deployment.PlainService, PlainReplicas: 1, CallTime: plainServiceCallTime, Settings: tree, MachineLag: machineListLag, ReportLag: loadReportLag,
		Host: func(string) network.Network { return network.TCP{} }, ListenAddress: "127.0.0.1:0",
		StoreAddress: fmt.Sprintf("127.0.0.1:%d", storePort), MachinesAddress: fmt.Sprintf("127.0.0.1:%d", machinesPort),
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	number := 0
	for zone, count := range deployment.NodesPerZone {
		for index := range count {
			name := cluster.NodeName(deployment.Zones[zone], index)
			c.Machines.Add(outside.Machine{
				Name: name, Role: "entry", Zone: deployment.Zones[zone],
				PeerAddress: fmt.Sprintf("127.0.0.1:%d", peerPortBase+number), CallerAddress: fmt.Sprintf("127.0.0.1:%d", callerPortBase+number),
			})
			fmt.Printf("go run ./cmd/thornwalkd -config examples/%s/%s.yaml   # callers 127.0.0.1:%d, operators 127.0.0.1:%d\n", deployment.Name, name, callerPortBase+number, operatorPortBase+number)
			number++
		}
	}
	fmt.Println("stand-ins are serving until interrupted")
	<-ctx.Done()
	return nil
}
