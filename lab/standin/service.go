package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
)

// Service is a stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	ID structs.ReplicaID
	// CallTime is the duration of a call.
	CallTime time.Duration
	// Slots is the maximum number of concurrent calls. Further calls are queued.
	Slots int

	mutex       sync.Mutex
	executions  map[string]*Execution
	requestIDs  []string
	running     int
	waiting     int
	leaving     bool
	sequence    uint64
	selectFault func(requestID string) Fault
	slots       chan struct{}
}

// NewService returns a service.
func NewService(id structs.ReplicaID, callTime time.Duration, slots int) *Service {
	return &Service{ID: id, CallTime: callTime, Slots: slots, executions: map[string]*Execution{}, slots: make(chan struct{}, slots)}
}

// SetFault sets the function that selects the fault of each call. Nil means no
// faults.
func (s *Service) SetFault(selectFault func(requestID string) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selectFault = selectFault
}

// SetLeaving makes the service report that it is leaving.
func (s *Service) SetLeaving() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// Executions returns the records of all calls in the order of their first submission.
func (s *Service) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	executions := make([]Execution, 0, len(s.requestIDs))
	for _, id := range s.requestIDs {
		executions = append(executions, *s.executions[id])
	}
	return executions
}

// ServiceAnswer is the body of the answer to a call.
type ServiceAnswer struct {
	RequestID string `json:"request_id"`
	Replica   string `json:"replica"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Execution int    `json:"execution"`
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(backendhttp.PathLoad, func(w http.ResponseWriter, _ *http.Request) { encode(w, s.report()) })
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

func (s *Service) report() structs.LoadReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return structs.LoadReport{
		Replica: s.ID, Sequence: s.sequence, Running: s.running, Waiting: s.waiting, Slots: s.Slots,
		KVFree: 1, StepTime: s.CallTime, Leaving: s.leaving,
	}
}

func (s *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(backendhttp.HeaderRequestID)
	execution, fault := s.recordCall(id, request.Header.Get("Idempotency-Key"), string(content))
	s.slots <- struct{}{}
	s.adjustCounts(1, -1)
	time.Sleep(s.CallTime)
	<-s.slots
	s.adjustCounts(-1, 0)
	s.mutex.Lock()
	execution.Done = true
	count := execution.Count
	s.mutex.Unlock()
	switch fault {
	case DiesBeforeAnswer, DropsRequest:
		panic(http.ErrAbortHandler)
	case AnswersLate:
		time.Sleep(LateAnswerDelay)
	case DiesMidAnswer:
		writer.Header().Set("Content-Length", strconv.Itoa(1<<16))
		_, _ = writer.Write([]byte(`{"request_id":`)) // the connection is aborted below
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
	encode(writer, ServiceAnswer{RequestID: id, Replica: string(s.ID), Method: request.Method, Path: request.URL.RequestURI(), Body: string(content), Execution: count})
}

func (s *Service) recordCall(id, key, body string) (*Execution, Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	execution, found := s.executions[id]
	if !found {
		execution = &Execution{RequestID: id, Replica: s.ID, Key: key, Body: body, At: time.Now()}
		s.executions[id] = execution
		s.requestIDs = append(s.requestIDs, id)
	}
	execution.Count++
	s.waiting++
	if s.selectFault == nil {
		return execution, NoFault
	}
	return execution, s.selectFault(id)
}

func (s *Service) adjustCounts(running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += running
	s.waiting += waiting
}
