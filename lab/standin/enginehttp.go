package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/lab/enginesim"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/backendhttp"
)

// engineRequestBody has the fields of a request that the engine reads in addition to
// the OpenAI-compatible ones.
type engineRequestBody struct {
	Priority  int `json:"priority"`
	MaxTokens int `json:"max_tokens"`
	// LabOutputTokens sets the length of the answer if it is positive.
	LabOutputTokens int `json:"lab_output_tokens"`
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(openai.PathChat, func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) }).Methods(http.MethodPost)
	router.HandleFunc(openai.PathCompletions, func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) }).Methods(http.MethodPost)
	router.HandleFunc(backendhttp.PathRequests+"{id}/events", e.serveEvents).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathRequests+"{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc(backendhttp.PathLoad, func(w http.ResponseWriter, _ *http.Request) { encode(w, e.report()) }).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathCacheEvents, e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathLoadModel, e.serveLoadModel).Methods(http.MethodPost)
	return router
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request, chat bool) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(backendhttp.HeaderRequestID)
	fault := e.faultFor(id)
	if fault == DropsRequest {
		e.mutex.Lock()
		e.recordSubmission(id, string(content))
		e.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	parsed, err := openai.ParseRequest(content, chat)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	var extra engineRequestBody
	_ = json.Unmarshal(content, &extra) // ParseRequest has checked the syntax
	job := e.submit(&enginesim.Job{
		ID: id, Rank: structs.Rank(extra.Priority), PromptTokens: prefix.Tokens(len(parsed.Prompt)),
		OutputTokens: outputTokens(id, extra.LabOutputTokens, extra.MaxTokens),
		Chain:        prefix.Chain(parsed.Model, parsed.Prompt),
	}, chat, string(content))
	switch fault {
	case DiesBeforeAnswer:
		panic(http.ErrAbortHandler)
	case AnswersLate:
		time.Sleep(LateAnswerDelay)
	}
	e.streamEvents(writer, request, job, 0, fault)
}

func (e *Engine) faultFor(id string) Fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.selectFault == nil {
		return NoFault
	}
	return e.selectFault(id)
}

func (e *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.Atoi(request.Header.Get(backendhttp.HeaderLastEventID)) // all events if absent
	e.mutex.Lock()
	job, found := e.jobs[mux.Vars(request)["id"]]
	e.mutex.Unlock()
	if !found {
		http.Error(writer, "unknown request", http.StatusNotFound)
		return
	}
	e.streamEvents(writer, request, job, after, NoFault)
}

// eventsBeforeDisconnect is the number of events that DiesMidAnswer sends.
const eventsBeforeDisconnect = 3

// streamEvents writes the events of the job after the given number until the last one.
func (e *Engine) streamEvents(writer http.ResponseWriter, request *http.Request, job *engineJob, after int, fault Fault) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	sent := after
	output := eventWriter{writer: writer, job: job, fault: fault}
	for {
		e.mutex.Lock()
		events := job.events[min(sent, len(job.events)):]
		done, changed := job.done, job.changed
		_, present := e.jobs[job.job.ID]
		e.mutex.Unlock()
		for _, event := range events {
			sent++
			if fault == DiesMidAnswer && sent > eventsBeforeDisconnect {
				panic(http.ErrAbortHandler)
			}
			output.write(sent, event)
		}
		if done {
			output.finish(sent)
			return
		}
		if controller.Flush() != nil || !present {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-e.stop:
			panic(http.ErrAbortHandler)
		}
	}
}

// eventWriter writes the events of an answer and applies the fault.
type eventWriter struct {
	writer  io.Writer
	job     *engineJob
	fault   Fault
	delayed []byte
}

func (w *eventWriter) write(number int, event []byte) {
	switch w.fault {
	case AnswersTwice:
		w.writeEvent(number, event)
	case AnswersOutOfOrder:
		if w.delayed == nil {
			w.delayed = event
			return
		}
		w.writeEvent(number, event)
		number, event, w.delayed = number-1, w.delayed, nil
	case AnswersForOther:
		other := *w.job.job
		other.ID = "other-request"
		otherJob := engineJob{job: &other, chat: w.job.chat}
		w.writeEvent(number, otherJob.tokenEvent("not yours ", false))
	}
	w.writeEvent(number, event)
}

func (w *eventWriter) writeEvent(number int, data []byte) {
	fmt.Fprintf(w.writer, "id: %d\ndata: %s\n\n", number, data)
}

// finish writes a delayed event and the event that marks a complete answer.
func (w *eventWriter) finish(number int) {
	if w.delayed != nil {
		w.writeEvent(number, w.delayed)
	}
	fmt.Fprintf(w.writer, "data: %s\n\n", openai.DoneEvent)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, request *http.Request) {
	e.cancel(mux.Vars(request)["id"])
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64) // all events if absent
	encode(writer, e.cacheEvents(after))
}

func (e *Engine) serveLoadModel(writer http.ResponseWriter, request *http.Request) {
	var order backendhttp.LoadOrder
	if !decode(writer, request, &order) {
		return
	}
	if !e.loadModel(order.Model, order.Fence) {
		http.Error(writer, "stale fence", http.StatusConflict)
	}
}
