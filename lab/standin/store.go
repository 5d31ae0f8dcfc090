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

// StoreFault is what the store does to a call.
type StoreFault int

// The faults of the store.
const (
	StoreWorks StoreFault = iota
	// StoreRefuses answers 503 without effect.
	StoreRefuses
	// StoreLosesAnswer takes effect and closes the connection.
	StoreLosesAnswer
	// StoreHangs takes no effect and never answers.
	StoreHangs
	// StoreDelays takes effect after StoreDelay has passed, when the caller may
	// have given up.
	StoreDelays
)

// StoreDelay is the delay of StoreDelays.
const StoreDelay = 3 * time.Second

// Store stands in for the platform's key-value service.
type Store struct {
	// Latency is added to each call.
	Latency time.Duration

	mutex    sync.Mutex
	fault    func(path string) StoreFault
	revision int64
	keys     map[string]storedKey
	leases   map[int64]*storedLease
	nextID   int64
	changed  chan struct{}
	calls    map[string]int
	history  []StoreWrite
	started  time.Time
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

// StoreWrite is one write as the store saw it.
type StoreWrite struct {
	Key      string
	Revision int64
	Value    []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]storedKey{}, leases: map[int64]*storedLease{}, changed: make(chan struct{}), calls: map[string]int{}, started: time.Now()}
}

// SetFault sets the function that decides each call's fault; nil for none.
func (s *Store) SetFault(fault func(path string) StoreFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// Calls returns the number of calls by path; a waiting watch counts as one.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, count := range s.calls {
		calls[path] = count
	}
	return calls
}

// Writes returns all writes of the key in order.
func (s *Store) Writes(key string) []StoreWrite {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var writes []StoreWrite
	for _, write := range s.history {
		if write.Key == key {
			writes = append(writes, write)
		}
	}
	return writes
}

// Put writes a key directly, as a test or another program would.
func (s *Store) Put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, value, 0)
}

// Handler returns the HTTP side.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	handle := func(path string, serve func(http.ResponseWriter, *http.Request)) {
		router.HandleFunc(path, func(writer http.ResponseWriter, request *http.Request) { s.withFault(path, writer, request, serve) })
	}
	handle(etcdstore.PathRange, s.serveRange)
	handle(etcdstore.PathTxn, s.serveTxn)
	handle(etcdstore.PathGrant, s.serveGrant)
	handle(etcdstore.PathKeepAlive, s.serveKeepAlive)
	handle(etcdstore.PathRevoke, s.serveRevoke)
	handle(etcdstore.PathWatch, s.serveWatch)
	return router
}

func (s *Store) withFault(path string, writer http.ResponseWriter, request *http.Request, serve func(http.ResponseWriter, *http.Request)) {
	s.mutex.Lock()
	s.calls[path]++
	fault := StoreWorks
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

// discardWriter drops an answer.
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
	_ = json.NewEncoder(writer).Encode(value) // the caller is gone if this fails
}

func (s *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.RangeRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.expire()
	answer := etcdstore.RangeResponse{Header: etcdstore.Header{Revision: s.revision}}
	if stored, found := s.keys[string(message.Key)]; found {
		answer.KVs = append(answer.KVs, keyValue(message.Key, stored))
	}
	s.mutex.Unlock()
	encode(writer, answer)
}

func keyValue(key []byte, stored storedKey) etcdstore.KeyValue {
	return etcdstore.KeyValue{Key: key, Value: stored.value, ModRevision: stored.revision}
}

func (s *Store) serveTxn(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.TxnRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.expire()
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
	answer := etcdstore.TxnResponse{Header: etcdstore.Header{Revision: s.revision}, Succeeded: succeeded}
	s.mutex.Unlock()
	encode(writer, answer)
}

// put writes a key and wakes watches. The mutex is held.
func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	s.keys[key] = storedKey{value: value, revision: s.revision, lease: lease}
	s.history = append(s.history, StoreWrite{Key: key, Revision: s.revision, Value: value})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the keys of leases that ran out. The mutex is held.
func (s *Store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	for key, stored := range s.keys {
		if stored.lease == id {
			s.revision++
			delete(s.keys, key)
			s.wake()
		}
	}
}

func (s *Store) serveGrant(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.nextID++
	id := s.nextID
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
	s.expire()
	answer := etcdstore.KeepAliveResponse{Result: etcdstore.LeaseResponse{ID: message.ID}}
	if lease, found := s.leases[message.ID]; found {
		lease.expires = time.Now().Add(lease.ttl)
		answer.Result.TTL = int64(lease.ttl / time.Second)
	}
	s.mutex.Unlock()
	encode(writer, answer)
}

func (s *Store) serveRevoke(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.LeaseRequest
	if !decode(writer, request, &message) {
		return
	}
	s.mutex.Lock()
	s.dropLease(message.ID)
	s.mutex.Unlock()
	encode(writer, etcdstore.LeaseResponse{})
}

func (s *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var message etcdstore.WatchRequest
	if !decode(writer, request, &message) {
		return
	}
	encode(writer, etcdstore.WatchResponse{Result: etcdstore.WatchResult{Created: true}})
	_ = http.NewResponseController(writer).Flush() // a broken connection shows below
	stored, err := s.await(request.Context(), string(message.Create.Key), message.Create.StartRevision)
	if err != nil {
		return
	}
	event := etcdstore.WatchEvent{Type: "PUT", KV: keyValue(message.Create.Key, stored)}
	encode(writer, etcdstore.WatchResponse{Result: etcdstore.WatchResult{Events: []etcdstore.WatchEvent{event}}})
}

func (s *Store) await(ctx context.Context, key string, revision int64) (storedKey, error) {
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
