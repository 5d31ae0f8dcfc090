package entry

import (
	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// The desk's part in requests that replicas end under: it holds the ledger, by which the
// scheduler goes, and enters how requests ended.

// What happens to a request's standing, in lines and counters.
const (
	poisonSuspected     = "suspected"
	poisonBlocked       = "barred"
	poisonTrial         = "tried"
	poisonCleared       = "cleared"
	poisonUnblocked     = "lifted"
	poisonBlockedByPeer = "heard-barred"
)

func (d *schedulingService) setContentPolicy(policy poison.Policy) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poisonTracker.SetPolicy(policy)
}

// noteContent enters what the end of a request says of what it asked for. The place is zero
// if another node gave it.
func (d *schedulingService) recordPoisonResult(place admission.Completion, finished *finishRequest) {
	now := d.clock()
	switch {
	case finished.Ended != nil:
		placed := place.Placed
		if place.Content.IsZero() {
			placed = -1 // not known, so that a life counts once
		}
		of := poisonrecords.Record{Fingerprint: finished.Content, Service: finished.Ended.Service, Route: finished.Ended.Route}
		standing, news := d.poisonTracker.RecordCrash(now, of, finished.Ended.Life, placed)
		if !news {
			return
		}
		outcome := poisonSuspected
		if standing == poison.Blocked {
			outcome = poisonBlocked
		}
		d.reportPoisonTransition(outcome, finished.Content)
	case finished.NotRun:
		d.poisonTracker.CancelTrial(place.Content)
	case finished.Seen.Whole:
		if d.poisonTracker.RecordSuccess(now, finished.Content) {
			d.onPoisonTransition(poisonCleared, poisonrecords.Record{Fingerprint: finished.Content, Service: place.Service, Route: place.Route})
		}
	}
}

// tellOf tells of a change of the request's standing. The caller holds the mutex.
func (d *schedulingService) reportPoisonTransition(outcome string, content fingerprint.Fingerprint) {
	if record, found := d.poisonTracker.Get(content); found {
		d.onPoisonTransition(outcome, record)
	}
}

// merge takes over what others know of requests. The caller holds the mutex.
func (d *schedulingService) mergePoisonLocked(now structs.Instant, records []poisonrecords.Record) {
	for _, record := range d.poisonTracker.Merge(now, records) {
		d.onPoisonTransition(poisonBlockedByPeer, record)
	}
}

// mergeContents takes over what others know of requests, and decides what follows.
func (d *schedulingService) mergePoisonRecords(records []poisonrecords.Record) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.mergePoisonLocked(d.clock(), records)
	d.decide()
}

// poisonRecordOf returns what this node saw lately of replicas that ended under the request.
func (d *schedulingService) poisonRecordOf(content fingerprint.Fingerprint) *poisonrecords.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poisonTracker.Recent(d.clock(), content)
}

// contentsMark marks what other nodes are told.
func (d *schedulingService) poisonSummary() poisonrecords.Summary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poisonTracker.Summary()
}

// toldContents returns what other nodes are told.
func (d *schedulingService) sharedPoisonRecords() []poisonrecords.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poisonTracker.Shared(d.clock())
}

// lastingContents returns what has to outlive all nodes.
func (d *schedulingService) persistentPoisonRecords() []poisonrecords.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poisonTracker.Persistent(d.clock())
}

// expirePoison drops what is old.
func (d *schedulingService) expirePoison() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poisonTracker.Sweep(d.clock())
}

// barredContents returns the requests that are barred.
func (d *schedulingService) blockedRequests() []poisonrecords.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poisonTracker.Blocked(d.clock())
}

// liftContent clears the request, and returns false if nothing speaks against it.
func (d *schedulingService) unblock(content fingerprint.Fingerprint) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record, _ := d.poisonTracker.Get(content)
	lifted := d.poisonTracker.Unblock(d.clock(), content)
	if lifted {
		d.onPoisonTransition(poisonUnblocked, record)
		d.decide()
	}
	return lifted
}
