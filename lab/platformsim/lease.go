package platformsim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// lease keeps keys until it expires.
type lease struct {
	expiresAt time.Time
	ttl       time.Duration
}

// leaseAnswer is the body of requests and responses about leases.
type leaseAnswer struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl_ms"`
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	if r.URL.Path == "/api/kv-lease" {
		var request leaseAnswer
		_ = json.NewDecoder(r.Body).Decode(&request)
		s.nextLease++
		ttl := time.Duration(request.TTL) * time.Millisecond
		s.leases[s.nextLease] = &lease{expiresAt: time.Now().Add(ttl), ttl: ttl}
		writeJSON(w, http.StatusOK, leaseAnswer{Lease: s.nextLease, TTL: request.TTL})
		return
	}
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	current, found := s.leases[id]
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.endLease(id)
	default:
		current.expiresAt = time.Now().Add(current.ttl)
		writeJSON(w, http.StatusOK, leaseAnswer{TTL: current.ttl.Milliseconds()})
	}
}

// expireLeases ends the expired leases. The caller holds the mutex.
func (s *Store) expireLeases() {
	for id, lease := range s.leases {
		if time.Now().After(lease.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease removes the lease and its keys. The caller holds the mutex.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}
