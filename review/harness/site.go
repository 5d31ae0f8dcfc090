package main

import (
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// The streams have streamEvents events, streamStep apart.
const (
	streamEvents   = 17
	streamStep     = 60 * time.Millisecond
	streamDeadline = 8 * time.Second
	streamPath     = "/appeal/1"
)

var zones = []string{"trakiya", "kapana", "maritsa"}

// The site has nodesPerZone machines and enginesPerZone engines with engineSlots slots in each zone.
const (
	nodesPerZone   = 2
	enginesPerZone = 2
	engineSlots    = 7
)

// configure writes the configuration: a streaming route whose requests may not run twice.
func (r *caseRun) configure() {
	entrylab.Configuration{
		Version: 1,
		Routes: []entrylab.Route{
			{Name: "permit-appeal", Host: routeHost, PathPrefix: "/appeal/", Kind: "streaming", Timeout: 8000, Target: 1000, TargetGap: 400, Service: "engines", Attempts: 1},
		},
		Services: []entrylab.Service{{Name: "engines"}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{clientKey}, Unit: "tokens", PlainTokens: 200, Rate: 100_000, Burst: 100_000}},
	}.Write(r.store)
}

// addSmallSite adds the machines and engines of all zones.
func (r *caseRun) addSmallSite() error {
	r.configure()
	for _, zone := range zones {
		for range nodesPerZone {
			r.addNode(zone)
		}
		for range enginesPerZone {
			engine := &platformsim.Replica{Service: "engines", Zone: zone, Slots: engineSlots, Events: streamEvents, Step: streamStep}
			if err := r.addReplica(engine); err != nil {
				return err
			}
		}
	}
	return nil
}
