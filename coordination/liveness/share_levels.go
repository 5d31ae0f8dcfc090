package liveness

import "slices"

// ShareLevels are the leads of tenants that used more of their share of a service than others, largest
// first in each ledger.
type ShareLevels struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Ledgers []ShareLedger
}

// ShareLedger has the leads of tenants at one service and priority.
type ShareLedger struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Service  string
	Priority int
	// Tenants has the hashes of the tenants' names, and Leads their leads in seconds of work.
	Tenants []uint64
	Leads   []float32
}

// Add adds the lead of a tenant.
func (l *ShareLevels) Add(service string, priority int, tenant uint64, lead float32) {
	index := slices.IndexFunc(l.Ledgers, func(ledger ShareLedger) bool { return ledger.Service == service && ledger.Priority == priority })
	if index < 0 {
		index = len(l.Ledgers)
		l.Ledgers = append(l.Ledgers, ShareLedger{Service: service, Priority: priority})
	}
	ledger := &l.Ledgers[index]
	ledger.Tenants, ledger.Leads = append(ledger.Tenants, tenant), append(ledger.Leads, lead)
}

// Each calls visit for every lead. It leaves out tenants without a lead, which a malformed heartbeat may
// have.
func (l *ShareLevels) Each(visit func(service string, priority int, tenant uint64, lead float32)) {
	for _, ledger := range l.Ledgers {
		for i := range min(len(ledger.Tenants), len(ledger.Leads)) {
			visit(ledger.Service, ledger.Priority, ledger.Tenants[i], ledger.Leads[i])
		}
	}
}

// LargerHalf returns the larger half of the leads, or nil if that is none.
func (l *ShareLevels) LargerHalf() *ShareLevels {
	var leads []float32
	l.Each(func(_ string, _ int, _ uint64, lead float32) { leads = append(leads, lead) })
	remaining := len(leads) / 2
	if remaining == 0 {
		return nil
	}
	slices.Sort(leads)
	least := leads[len(leads)-remaining]
	half := &ShareLevels{}
	l.Each(func(service string, priority int, tenant uint64, lead float32) {
		if lead >= least && remaining > 0 {
			half.Add(service, priority, tenant, lead)
			remaining--
		}
	})
	return half
}
