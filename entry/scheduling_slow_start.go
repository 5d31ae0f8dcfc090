package entry

import "github.com/thornwalk/thornwalk/coordination/admission"

// The desk's part in emptied zones and cold replicas.

// setEmptied takes over which zones get nothing.
func (d *schedulingService) setEvacuatedZones(zones map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.evacuatedZones = zones
	d.scheduler.SetEvacuatedZones(d.clock(), zones)
	d.decide()
}

// setWarmings takes over what cold replicas get, by service.
func (d *schedulingService) setWarmings(warmings map[string]admission.SlowStart) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.slowStarts = warmings
	d.applySlowStarts()
	d.decide()
}

func (d *schedulingService) applySlowStarts() {
	for service, warming := range d.slowStarts {
		d.scheduler.SetSlowStart(service, warming)
	}
}

// setWarms lets the scheduler send to cold replicas while this node schedules for most others: at
// most two nodes take themselves for that at a time. The caller holds the mutex.
func (d *schedulingService) updateColdTraffic() {
	if warms := d.isActive && d.quotaShare > majorityShare; warms != d.scheduler.ColdTrafficAllowed() {
		d.scheduler.SetColdTrafficAllowed(d.clock(), warms)
	}
}
