package platformsim

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an entry of the store, or the record of its removal.
type Item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"gone,omitempty"`
}

// maxPageItems and maxPageBytes bound the items of one range answer and their values, as the store's protocol says.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// Store is the platform's key-value store in memory. It is safe for concurrent use.
type Store struct {
	mutex             sync.Mutex
	items             map[string]Item
	history           []Item
	compactedRevision int64
	revision          int64
	leases            map[int64]*lease
	nextLease         int64
	changed           chan struct{}
	// Injected faults, and the number of calls.
	down          bool
	watchesSilent bool
	delay         time.Duration
	rejectedHosts map[string]bool
	dropsReplies  bool
	calls         int
	// era increments with each restore. Every answer carries it unless sendsEra is false.
	era      int64
	sendsEra bool
	// restored is closed and replaced by each restore, which aborts pending watches.
	restored chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), rejectedHosts: map[string]bool{}, era: firstEra, sendsEra: true, restored: make(chan struct{})}
}

// Put writes the value without a lease and returns its revision. Unlike transactions it may write the
// keys of operators and replicas.
func (s *Store) Put(key string, value []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(key, value, 0)
}

// PutJSON writes the value as JSON and returns its revision. It panics if the value can't be encoded.
func (s *Store) PutJSON(key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.Put(key, content)
}

// Value returns the value of the key, or nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].Value
}

// Delete removes the key.
func (s *Store) Delete(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, lease int64) int64 {
	s.revision++
	created := s.revision
	if previous, found := s.items[key]; found {
		created = previous.Created
	}
	item := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = item
	s.appendHistory(item)
	return s.revision
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendHistory(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) appendHistory(item Item) {
	s.history = append(s.history, item)
	if !s.watchesSilent {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// SetDown makes the store answer every call with 503.
func (s *Store) SetDown(down bool) { s.update(func() { s.down = down }) }

// IsDown reports whether the store answers every call with 503.
func (s *Store) IsDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// SetDelay delays every answer.
func (s *Store) SetDelay(delay time.Duration) { s.update(func() { s.delay = delay }) }

// SetLoseAnswers makes transactions take effect but closes their connections without an answer.
func (s *Store) SetLoseAnswers(lost bool) { s.update(func() { s.dropsReplies = lost }) }

// SetRejected makes the store answer calls from the host with 503.
func (s *Store) SetRejected(host string, rejected bool) {
	s.update(func() { s.rejectedHosts[host] = rejected })
}

// SetSilent makes watches report no changes.
func (s *Store) SetSilent(silent bool) { s.update(func() { s.watchesSilent = silent }) }

// Compact drops the history; watches from an earlier revision get 410.
func (s *Store) Compact() {
	s.update(func() {
		s.history, s.compactedRevision = nil, s.revision
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// update calls change with the mutex held.
func (s *Store) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// ServeHTTP serves the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mutex.Lock()
	s.calls++
	unavailable, delay := s.down || s.rejectedHosts[host], s.delay
	if s.sendsEra {
		w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
	}
	s.mutex.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.serveKey(w, r)
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTransaction(w, r)
	case path == "/api/kv-lease" || strings.HasPrefix(path, "/api/kv-keep/") || strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.serveLease(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// keyAnswer is one item with the revision at which it was read.
type keyAnswer struct {
	Item
	At int64 `json:"at"`
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.expireLeases()
	item, found := s.items[r.URL.Query().Get("tls_key")]
	at := s.revision
	s.mutex.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, keyAnswer{Item: item, At: at})
}

// rangeAnswer is one page of items.
type rangeAnswer struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"`
	At    int64  `json:"at"`
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.page(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("watch_after")))
}

// page returns the first items with the prefix after the key. The caller writes them without holding
// the mutex, so that a slow reader blocks no other call.
func (s *Store) page(prefix, after string) rangeAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireLeases()
	page := rangeAnswer{Items: []Item{}, At: s.revision}
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	bytes := 0
	for _, key := range keys {
		bytes += base64.StdEncoding.EncodedLen(len(s.items[key].Value))
		if len(page.Items) == maxPageItems || bytes > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

// watchAnswer is the changes up to the revision At.
type watchAnswer struct {
	Events []Item `json:"events"`
	At     int64  `json:"at"`
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("watch_after"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mutex.Lock()
		s.expireLeases()
		if after < s.compactedRevision || after > s.revision {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		changes := watchAnswer{Events: []Item{}, At: after}
		if !s.watchesSilent {
			changes = s.changesSince(query.Get("path_prefix"), after)
		}
		changed, restored := s.changed, s.restored
		s.mutex.Unlock()
		if len(changes.Events) > 0 {
			writeWatchAnswer(w, changes)
			return
		}
		select {
		case <-changed:
		case <-restored:
			panic(http.ErrAbortHandler)
		case <-timeout:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeWatchAnswer writes the answer event by event, up to the first that the client doesn't read: together the values
// may take hundreds of megabytes.
func writeWatchAnswer(w http.ResponseWriter, answer watchAnswer) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"at":%d,"events":[`, answer.At)
	for i, event := range answer.Events {
		if i > 0 {
			_, _ = io.WriteString(w, ",")
		}
		if json.NewEncoder(w).Encode(event) != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "]}")
}

func (s *Store) changesSince(prefix string, after int64) watchAnswer {
	changes := watchAnswer{Events: []Item{}, At: s.revision}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			changes.Events = append(changes.Events, item)
		}
	}
	return changes
}

// transaction is a set of changes that apply if all expected revisions match. Revision 0 expects no
// item.
type transaction struct {
	Expected []struct {
		Key      string `json:"tls_key"`
		Revision int64  `json:"revision"`
	} `json:"expected_rev"`
	Put []struct {
		Key   string `json:"tls_key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Delete []string `json:"delete"`
}

// conflict is the current items of the expected keys after a mismatch.
type conflict struct {
	Items []Item `json:"items"`
}

// revisionAnswer is the store's revision after a transaction.
type revisionAnswer struct {
	Revision int64 `json:"revision"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var request transaction
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	status, body := s.commit(&request)
	dropsReply := s.dropsReplies
	s.mutex.Unlock()
	if dropsReply && status == http.StatusOK {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

// commit applies the transaction and returns the status and body of the answer. The caller holds the
// mutex.
func (s *Store) commit(request *transaction) (int, any) {
	s.expireLeases()
	for _, put := range request.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if _, found := s.leases[put.Lease]; put.Lease != 0 && !found {
			return http.StatusNotFound, nil
		}
	}
	current := conflict{Items: []Item{}}
	matches := true
	for _, expected := range request.Expected {
		item, found := s.items[expected.Key]
		matches = matches && item.Revision == expected.Revision
		if found {
			current.Items = append(current.Items, item)
		}
	}
	if !matches {
		return http.StatusPreconditionFailed, current
	}
	for _, put := range request.Put {
		s.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range request.Delete {
		s.remove(key)
	}
	return http.StatusOK, revisionAnswer{Revision: s.revision}
}
