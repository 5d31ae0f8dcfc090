package entry

import (
	"sync"

	"github.com/thornwalk/thornwalk/coordination/handover"
	"github.com/thornwalk/thornwalk/structs"
)

// Outcomes of silences in logs and metrics.
const (
	silenceSearching  = "searching"
	silenceWentOn     = "went-on"
	silenceReplaced   = "replaced"
	silenceBrokeOff   = "broke-off"
	silenceDeadline   = "deadline"
	silenceCallerLeft = "caller-left"
	silenceStopping   = "stopping"
)

// silence is a wait for the current replica during which a successor was looked for.
type silence struct {
	replica  string
	since    structs.Instant
	searches int
	// refusal is why the latest search without an assignment got none.
	refusal string
}

// recordSearch logs the search that begins. The first one of a wait makes it a silence. The mutex must be held while the
// call waits.
func (w *silenceWatch) recordSearch() {
	node := w.call.node
	if w.silent == nil {
		w.silent = &silence{replica: w.call.currentReplica, since: w.waitingSince}
		node.silences.add(w, w.call.service, w.waitingSince)
	}
	w.logSilence(silenceSearching, handover.NoSuccessor)
	w.silent.searches++
}

// endSilence logs and counts the end of the silence, if there is one, as the replica went on or the exchange with it
// failed. phase is how far the search for a successor was. The mutex must be held by the call's goroutine.
func (w *silenceWatch) endSilence(wentOn bool, phase handover.Phase) {
	if w.silent == nil {
		return
	}
	outcome := silenceWentOn
	if !wentOn {
		outcome = w.interruption()
	}
	w.countSearches()
	w.logSilence(outcome, phase)
	node := w.call.node
	node.counter("silences." + outcome).Inc(1)
	node.recordDuration("silence_ms", node.now()-w.silent.since)
	node.silences.remove(w)
	w.silent = nil
}

// logSilence logs the silence as it is now.
func (w *silenceWatch) logSilence(outcome string, phase handover.Phase) {
	event := w.call.newEvent("request.silent")
	event.Outcome, event.Replica, event.HasEvents = outcome, w.silent.replica, w.call.headSent
	event.SilentMS, event.Count = (w.call.node.now() - w.silent.since).Milliseconds(), w.silent.searches
	if outcome != silenceSearching {
		event.RetryRefusal = w.silent.refusal
	}
	if phase != handover.NoSuccessor {
		event.Search = phase.String()
	}
	if outcome == silenceReplaced {
		event.Successor = w.winner.granted.Replica.ID
	}
	if outcome == silenceSearching {
		w.call.logSearchEvent(event)
	} else {
		w.call.logEvent(event)
	}
}

// interruption returns the outcome of a silence that ends as the exchange with the current replica fails.
func (w *silenceWatch) interruption() string {
	switch {
	case w.winner != nil:
		return silenceReplaced
	case w.call.isStopped():
		return silenceStopping
	case w.call.request.Context().Err() != nil:
		return silenceCallerLeft
	case w.call.ctx.Err() != nil:
		return silenceDeadline
	}
	return silenceBrokeOff
}

// silences holds the requests whose replica is silent. It is safe for concurrent use.
type silences struct {
	mutex  sync.Mutex
	silent map[*silenceWatch]silentRequest
}

type silentRequest struct {
	service string
	since   structs.Instant
}

func (s *silences) add(watch *silenceWatch, service string, since structs.Instant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.silent == nil {
		s.silent = map[*silenceWatch]silentRequest{}
	}
	s.silent[watch] = silentRequest{service, since}
}

func (s *silences) remove(watch *silenceWatch) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.silent, watch)
}

// SilenceStatus describes the requests of one service whose replicas are silent.
type SilenceStatus struct {
	Requests int `json:"requests"`
	// LongestMS is for how long the first of these replicas has been silent, in milliseconds.
	LongestMS int64 `json:"longest_ms"`
}

// status returns the silences by service.
func (s *silences) status(now structs.Instant) map[string]SilenceStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	services := map[string]SilenceStatus{}
	for _, request := range s.silent {
		service := services[request.service]
		service.Requests++
		service.LongestMS = max(service.LongestMS, (now - request.since).Milliseconds())
		services[request.service] = service
	}
	return services
}

// total returns the silences of all services together.
func (s *silences) total(now structs.Instant) SilenceStatus {
	var total SilenceStatus
	for _, service := range s.status(now) {
		total.Requests += service.Requests
		total.LongestMS = max(total.LongestMS, service.LongestMS)
	}
	return total
}

// registerSilenceMetrics registers the gauges of the requests whose replicas are silent.
func (n *Node) registerSilenceMetrics() {
	n.registerGauges(map[string]func() int64{
		"silences.current":    func() int64 { return int64(n.silences.total(n.now()).Requests) },
		"silences.longest_ms": func() int64 { return n.silences.total(n.now()).LongestMS },
	})
}
