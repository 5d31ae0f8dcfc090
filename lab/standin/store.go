package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/transport/etcdstore"
)

// StoreFault is a fault in the handling of a store call.
type StoreFault int

// Faults of the store.
const (
	NoStoreFault StoreFault = iota
	// StoreRefuses returns status 503 without executing the call.
	StoreRefuses
	// StoreLosesAnswer executes the call and closes the connection without a response.
	StoreLosesAnswer
	// StoreHangs neither executes the call nor responds.
	StoreHangs
	// StoreDelays executes the call after StoreDelay, when the caller may have given up.
	StoreDelays
)

// StoreDelay is the delay of StoreDelays.
const StoreDelay = 3 * time.Second

// Store is a stand-in for the platform's key-value service. It is safe for concurrent
// use.
type Store struct {
	// Latency delays each call. It must be set before the store serves requests.
	Latency time.Duration

	mutex       sync.Mutex
	fault       func(path string) StoreFault
	revision    int64
	keys        map[string]storedKey
	leases      map[int64]*storedLease
	lastLeaseID int64
	changed     chan struct{}
	calls       map[string]int
	writes      []StoreWrite
	started     time.Time
}

type storedKey struct {
	value    []byte
	revision int64
	lease    int64
}

type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

// StoreWrite is a write in the history of the store.
type StoreWrite struct {
	Key      string
	Revision int64
	Value    []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]storedKey{}, leases: map[int64]*storedLease{}, changed: make(chan struct{}), calls: map[string]int{}, started: time.Now()}
}

// SetFault sets the function that selects the fault of each call by its path. Nil means
// no faults.
func (s *Store) SetFault(fault func(path string) StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// Calls returns the number of calls by path. A watch counts as one call.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, count := range s.calls {
		calls[path] = count
	}
	return calls
}

// Writes returns all writes of the key in the order of their revisions.
func (s *Store) Writes(key string) []StoreWrite {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var writes []StoreWrite
	for _, write := range s.writes {
		if write.Key == key {
			writes = append(writes, write)
		}
	}
	return writes
}

// Put writes a key without a lease and without latency or faults.
func (s *Store) Put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, value, 0)
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	handle := func(path string, serve func(http.ResponseWriter, *http.Request)) {
		router.HandleFunc(path, func(writer http.ResponseWriter, request *http.Request) {
			s.serveWithFault(path, writer, request, serve)
		})
	}
	handle(etcdstore.PathRange, s.serveRange)
	handle(etcdstore.PathTxn, s.serveTxn)
	handle(etcdstore.PathGrant, s.serveGrant)
	handle(etcdstore.PathKeepAlive, s.serveKeepAlive)
	handle(etcdstore.PathRevoke, s.serveRevoke)
	handle(etcdstore.PathWatch, s.serveWatch)
	return router
}

func (s *Store) serveWithFault(path string, writer http.ResponseWriter, request *http.Request, serve func(http.ResponseWriter, *http.Request)) {
	s.mutex.Lock()
	s.calls[path]++
	fault := NoStoreFault
	if s.fault != nil {
		fault = s.fault(path)
	}
	s.mutex.Unlock()
	time.Sleep(s.Latency)
	switch fault {
	case StoreRefuses:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case StoreHangs:
		<-request.Context().Done()
	case StoreLosesAnswer:
		serve(discardWriter{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	case StoreDelays:
		time.Sleep(StoreDelay)
		serve(writer, request)
	default:
		serve(writer, request)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header               { return d.header }
func (d discardWriter) Write(content []byte) (int, error) { return len(content), nil }
func (d discardWriter) WriteHeader(int)                   {}

func decode(writer http.ResponseWriter, request *http.Request, value any) bool {
	if err := json.NewDecoder(request.Body).Decode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value) // fails only if the caller has closed the connection
}

func (s *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.RangeRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.removeExpiredLeases()
	response := etcdstore.RangeResponse{Header: etcdstore.Header{Revision: s.revision}}
	if stored, found := s.keys[string(message.Key)]; found {
		response.KVs = append(response.KVs, newKeyValue(message.Key, stored))
	}
	s.mutex.Unlock()
	encode(writer, response)
}

func newKeyValue(key []byte, stored storedKey) etcdstore.KeyValue {
	return etcdstore.KeyValue{Key: key, Value: stored.value, ModRevision: stored.revision}
}

func (s *Store) serveTxn(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.TxnRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.removeExpiredLeases()
	succeeded := true
	for _, compare := range message.Compare {
		succeeded = succeeded && s.keys[string(compare.Key)].revision == compare.ModRevision
	}
	if succeeded {
		for _, operation := range message.Success {
			if operation.Put != nil {
				s.put(string(operation.Put.Key), operation.Put.Value, operation.Put.Lease)
			}
		}
	}
	response := etcdstore.TxnResponse{Header: etcdstore.Header{Revision: s.revision}, Succeeded: succeeded}
	s.mutex.Unlock()
	encode(writer, response)
}

// put writes a key and wakes the watches. The caller holds the mutex.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	s.keys[key] = storedKey{value: value, revision: s.revision, lease: lease}
	s.writes = append(s.writes, StoreWrite{Key: key, Revision: s.revision, Value: value})
	s.notifyWatches()
}

// notifyWatches wakes all watches. The caller holds the mutex.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeExpiredLeases removes expired leases and their keys. The caller holds the
// mutex.
func (s *Store) removeExpiredLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds the mutex.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, stored := range s.keys {
		if stored.lease == id {
			s.revision++
			delete(s.keys, key)
			s.notifyWatches()
		}
	}
}

func (s *Store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.lastLeaseID++
	id := s.lastLeaseID
	ttl := time.Duration(message.TTL) * time.Second
	s.leases[id] = &storedLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mutex.Unlock()
	encode(writer, etcdstore.LeaseResponse{ID: id, TTL: message.TTL})
}

func (s *Store) serveKeepAlive(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.removeExpiredLeases()
	response := etcdstore.KeepAliveResponse{Result: etcdstore.LeaseResponse{ID: message.ID}}
	if lease, found := s.leases[message.ID]; found {
		lease.expires = time.Now().Add(lease.ttl)
		response.Result.TTL = int64(lease.ttl / time.Second)
	}
	s.mutex.Unlock()
	encode(writer, response)
}

func (s *Store) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.removeLease(message.ID)
	s.mutex.Unlock()
	encode(writer, etcdstore.LeaseResponse{})
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.WatchRequest
	if !decode(writer, request, &message) {
		return
	}
	encode(writer, etcdstore.WatchResponse{Result: etcdstore.WatchResult{Created: true}})
	_ = http.NewResponseController(writer).Flush() // if the connection is broken, the request context ends
	stored, err := s.awaitRevision(request.Context(), string(message.Create.Key), message.Create.StartRevision)
	if err != nil {
		return
	}
	event := etcdstore.WatchEvent{Type: "PUT", KV: newKeyValue(message.Create.Key, stored)}
	encode(writer, etcdstore.WatchResponse{Result: etcdstore.WatchResult{Events: []etcdstore.WatchEvent{event}}})
}

// awaitRevision blocks until the key was written at the revision or later, and returns
// its entry.
func (s *Store) awaitRevision(ctx context.Context, key string, revision int64) (storedKey, error) {
	for {
		s.mutex.Lock()
		stored := s.keys[key]
		changed := s.changed
		s.mutex.Unlock()
		if stored.revision >= revision {
			return stored, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return storedKey{}, ctx.Err()
		}
	}
}
