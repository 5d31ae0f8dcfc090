package main

import (
	"time"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// The slow start of the service, with the figures of the site: cold_start_s, cold_per_s, cold_overage, cold_slack.
const (
	coldTime    = 3 * time.Second
	coldRate    = 9.4
	coldOverage = 1.5
	coldSlack   = 5
	// coldBound is the number of requests that a cold replica may receive in one second.
	coldBound = coldRate*coldOverage + coldSlack
)

// Times of the case: the store is down for outageTime, and a replica becomes cold coldAfter its start. It falls over at
// fallOverFactor times the bound, and starts again, cold, crashTime later.
const (
	coldWarmup     = 5 * time.Second
	outageTime     = 4500 * time.Millisecond
	coldAfter      = time.Second
	crashTime      = 1500 * time.Millisecond
	coldTraffic    = 20 * time.Second
	coldClients    = 10
	fallOverFactor = 2
	plainPath      = "/pay/1"
	plainTimeout   = time.Second
)

func (r *caseRun) configureCold() {
	entrylab.Configuration{
		Version: 1,
		Routes: []entrylab.Route{
			{Name: "pay-submit", Host: routeHost, PathPrefix: "/pay/", Kind: "unsafe", Timeout: 1000, Target: 150, Service: "ledger", Attempts: 1},
		},
		Services: []entrylab.Service{{Name: "ledger", ColdTime: coldTime.Seconds(), ColdRate: coldRate}},
		Tenants:  []entrylab.Tenant{{Name: "office", Keys: []string{clientKey}, Unit: "tokens", PlainTokens: 200, Rate: 100_000, Burst: 100_000}},
	}.Write(r.store)
}

// startColdSite starts two machines and one replica in each zone, and returns the replicas.
func (r *caseRun) startColdSite() ([]*plainReplica, error) {
	r.configureCold()
	r.hasSlowStart = true
	var ledgers []*plainReplica
	for i, zone := range zones {
		r.addNode(zone)
		r.addNode(zone)
		ledger := newPlainReplica(r, 20+i, zone)
		if err := ledger.start(false); err != nil {
			return nil, err
		}
		ledgers = append(ledgers, ledger)
	}
	return ledgers, r.start()
}

// runCold has a replica become cold again, once while the store is down, or while it is up without the disruption.
func runCold(run *caseRun) (bool, error) {
	ledgers, err := run.startColdSite()
	if err != nil {
		return false, err
	}
	callers := &clients{run: run}
	callers.start(coldClients, time.Now().Add(coldTraffic), client{path: plainPath, deadline: plainTimeout})
	time.Sleep(coldWarmup)
	run.setStoreDown(run.trouble)
	time.Sleep(coldAfter)
	ledgers[0].turnCold()
	time.Sleep(outageTime - coldAfter)
	run.setStoreDown(false)
	return run.judgeFailback(callers.sentAll(), ledgers), nil
}

// setStoreDown sets whether the store answers every call with 503. Replicas write their entries once it is up.
func (r *caseRun) setStoreDown(isDown bool) {
	r.store.SetDown(isDown)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isStoreDown = isDown
	r.record.write("store: down %v", isDown)
	for _, write := range r.delayedWrites {
		write()
	}
	r.delayedWrites = nil
}

// judgeFailback judges FAILBACK: in no second may a cold replica receive more requests than the bound.
func (r *caseRun) judgeFailback(all []*sent, ledgers []*plainReplica) bool {
	most := 0
	for _, ledger := range ledgers {
		most = max(most, ledger.mostWhileCold())
	}
	broken := 0
	for _, s := range all {
		if s.status != 200 || !s.isSigned {
			broken++
		}
	}
	r.record.write("%d requests, %d without a success; replicas fell over %d times; a cold replica received at most %d requests in one second, the bound is %.1f", len(all), broken, ledgers[0].fallen, most, coldBound)
	return float64(most) <= coldBound
}
