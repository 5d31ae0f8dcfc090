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

// engineBody is what the stand-in reads beside the OpenAI-compatible fields.
type engineBody struct {
	Priority  int `json:"priority"`
	MaxTokens int `json:"max_tokens"`
	// LabOutputTokens fixes the length of the answer, for tests and load.
	LabOutputTokens int `json:"lab_output_tokens"`
}

// Handler returns the HTTP side.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(openai.PathChat, func(w http.ResponseWriter, r *http.Request) { e.serveGenerate(w, r, true) }).Methods(http.MethodPost)
	router.HandleFunc(openai.PathCompletions, func(w http.ResponseWriter, r *http.Request) { e.serveGenerate(w, r, false) }).Methods(http.MethodPost)
	router.HandleFunc(backendhttp.PathRequests+"{id}/events", e.serveEvents).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathRequests+"{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc(backendhttp.PathLoad, func(w http.ResponseWriter, _ *http.Request) { encode(w, e.report()) }).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathCacheEvents, e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(backendhttp.PathLoadModel, e.serveLoad).Methods(http.MethodPost)
	return router
}

func (e *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request, chat bool) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(backendhttp.HeaderRequestID)
	misbehavior := e.misbehavior(id)
	if misbehavior == ForgetsRequest {
		e.mutex.Lock()
		e.record(id, string(content))
		e.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	parsed, err := openai.ParseRequest(content, chat)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	var extra engineBody
	_ = json.Unmarshal(content, &extra) // parsed above already
	job := e.submit(&enginesim.Job{
		ID: id, Rank: structs.Rank(extra.Priority), PromptTokens: prefix.Tokens(len(parsed.Prompt)),
		OutputTokens: outputTokens(id, extra.LabOutputTokens, extra.MaxTokens),
		Chain:        prefix.Chain(parsed.Model, parsed.Prompt),
	}, chat, string(content))
	switch misbehavior {
	case DiesBeforeAnswer:
		panic(http.ErrAbortHandler)
	case AnswersLate:
		time.Sleep(LateBy)
	}
	e.stream(writer, request, job, 0, misbehavior)
}

func (e *Engine) misbehavior(id string) Misbehavior {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.misbehave == nil {
		return Behaves
	}
	return e.misbehave(id)
}

func (e *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.Atoi(request.Header.Get(backendhttp.HeaderLastEventID)) // absent means all
	e.mutex.Lock()
	job, found := e.jobs[mux.Vars(request)["id"]]
	e.mutex.Unlock()
	if !found {
		http.Error(writer, "unknown request", http.StatusNotFound)
		return
	}
	e.stream(writer, request, job, after, Behaves)
}

// eventsBeforeDeath is how many events DiesMidAnswer sends.
const eventsBeforeDeath = 3

// stream sends the job's events after the given number until the last.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, job *engineJob, after int, misbehavior Misbehavior) {
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	sent := after
	output := eventWriter{writer: writer, job: job, misbehavior: misbehavior}
	for {
		e.mutex.Lock()
		events := job.events[min(sent, len(job.events)):]
		done, changed := job.done, job.changed
		_, present := e.jobs[job.job.ID]
		e.mutex.Unlock()
		for _, event := range events {
			sent++
			if misbehavior == DiesMidAnswer && sent > eventsBeforeDeath {
				panic(http.ErrAbortHandler)
			}
			output.write(sent, event)
		}
		if done {
			output.end(sent)
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

// eventWriter writes events, and misbehaves.
type eventWriter struct {
	writer      io.Writer
	job         *engineJob
	misbehavior Misbehavior
	held        []byte
}

func (w *eventWriter) write(number int, event []byte) {
	switch w.misbehavior {
	case AnswersTwice:
		w.put(number, event)
	case AnswersOutOfOrder:
		if w.held == nil {
			w.held = event
			return
		}
		w.put(number, event)
		number, event, w.held = number-1, w.held, nil
	case AnswersForOther:
		other := *w.job.job
		other.ID = "other-request"
		foreign := engineJob{job: &other, chat: w.job.chat}
		w.put(number, foreign.chunk("not yours ", false))
	}
	w.put(number, event)
}

func (w *eventWriter) put(number int, data []byte) {
	fmt.Fprintf(w.writer, "id: %d\ndata: %s\n\n", number, data)
}

// end writes what is held back and the mark of a whole answer.
func (w *eventWriter) end(number int) {
	if w.held != nil {
		w.put(number, w.held)
	}
	fmt.Fprintf(w.writer, "data: %s\n\n", openai.DoneEvent)
}

func (e *Engine) serveCancel(_ http.ResponseWriter, request *http.Request) {
	e.cancel(mux.Vars(request)["id"])
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64) // absent means all
	encode(writer, e.cacheEvents(after))
}

func (e *Engine) serveLoad(writer http.ResponseWriter, request *http.Request) {
	var order backendhttp.LoadOrder
	if !decode(writer, request, &order) {
		return
	}
	if !e.load(order.Model, order.Fence) {
		http.Error(writer, "stale fence", http.StatusConflict)
	}
}
