package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/thornwalk/thornwalk/internal/jsonstream"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/protocol/receipt"
	"github.com/thornwalk/thornwalk/state/answer"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/oneshot"
	"github.com/thornwalk/thornwalk/transport/unframed"
)

const kindLookup = peerwire.KindRegistryLookup

// statusWait is how long a status request waits for the state of a relayed answer.
const statusWait = 200 * time.Millisecond

// relayAuthorization, sealed, allows a node to read an answer from another node.
type relayAuthorization struct {
	RequestID string `msgpack:"r"`
	Tenant    string `msgpack:"t"`
}

// maxRelayLineBytes bounds a line, which has at most one event.
const maxRelayLineBytes = 8 << 20

// relayLine is one line of a relayed answer, of which one field is set.
type relayLine struct {
	Receipt string               `json:"receipt,omitempty"`
	Head    *answer.ResponseHead `json:"head,omitempty"`
	Part    []byte               `json:"part,omitempty"`
	End     *relayEnd            `json:"end,omitempty"`
}

// relayEnd is the end of a relayed answer.
type relayEnd struct {
	Outcome structs.Outcome `json:"outcome"`
	Code    string          `json:"code,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}

// relayAnswer returns an answer that is read in the background from the node at
// the address or, if that fails, from the engine that the receipt names. sealed
// may be empty; the receipt then comes from the other node.
func (n *Node) relayAnswer(address, id, tenant, sealed string) *answer.Answer {
	relayed := answer.New(id, tenant)
	var opened receipt.Receipt
	if n.sealer.Open(sealed, &opened) == nil && opened.RequestID == id && opened.Tenant == tenant {
		relayed.SetReceipt(sealed)
	}
	n.group.Go(func() { n.runRelay(relayed, address) })
	return relayed
}

func (n *Node) runRelay(relayed *answer.Answer, address string) {
	err := n.readRelay(relayed, address)
	view, _ := relayed.Snapshot(0)
	if view.Ended {
		return
	}
	// A request that the other node dispatched continues at its engine, from which
	// the remaining events of the answer can be read.
	var opened receipt.Receipt
	if view.Receipt == "" || n.sealer.Open(view.Receipt, &opened) != nil || !opened.Engine {
		relayed.End(structs.OutcomeUnknown, errkind.New(errkind.OutcomeUnknown, "relay answer of request %s: %v", relayed.RequestID, err))
		return
	}
	reader := &eventReader{node: n, request: &structs.Request{ID: relayed.RequestID}, address: opened.Address, answer: relayed, lastNumber: len(view.Parts)}
	outcome, err := reader.read(n.working, nil, err)
	relayed.End(outcome, n.endOfWork(outcome, err))
}

// readRelay reads the answer from another node until its end.
func (n *Node) readRelay(relayed *answer.Answer, address string) error {
	authorization, err := n.sealer.Seal(&relayAuthorization{RequestID: relayed.RequestID, Tenant: relayed.Tenant})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(n.working, http.MethodGet, "http://"+address+PathInternalAnswers+relayed.RequestID, nil)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderReceipt, authorization)
	sender := oneshot.Sender{Network: n.callerNetwork()}
	dialContext, cancel := context.WithCancel(n.working)
	defer cancel()
	response, err := sender.Send(dialContext, address, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("the node no longer has the answer")
	}
	decoder := jsonstream.NewDecoder(response.Body, maxRelayLineBytes)
	for {
		var line relayLine
		if err := decoder.Decode(&line); err != nil {
			return err
		}
		if applyLine(relayed, &line) {
			return nil
		}
	}
}

// applyLine applies a line to the answer and reports whether it was the last.
func applyLine(relayed *answer.Answer, line *relayLine) bool {
	switch {
	case line.End != nil:
		var err error
		if line.End.Code != "" {
			kind, known := errkind.ByCode(line.End.Code)
			if !known {
				kind = errkind.OutcomeUnknown
			}
			err = errkind.New(kind, "%s", line.End.Detail)
		}
		relayed.End(line.End.Outcome, err)
		return true
	case line.Head != nil:
		relayed.SetHead(*line.Head)
	case line.Receipt != "":
		relayed.SetReceipt(line.Receipt)
	default:
		relayed.Append(line.Part)
	}
	return false
}

// serveRelay sends an answer to another node.
func (n *Node) serveRelay(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	var authorization relayAuthorization
	if err := n.sealer.Open(request.Header.Get(HeaderReceipt), &authorization); err != nil || authorization.RequestID != id {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	found, known := n.answers.Get(id)
	if !known || found.Tenant != authorization.Tenant {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	n.traffic.openCallers.Add(1)
	defer n.traffic.openCallers.Add(-1)
	n.sendLines(writer, request, found)
}

// sendLines sends the answer as relay lines until it ends.
func (n *Node) sendLines(writer http.ResponseWriter, request *http.Request, ans *answer.Answer) {
	encoder := json.NewEncoder(writer)
	sent := 0
	receiptSent, headSent := false, false
	for {
		view, changed := ans.Snapshot(sent)
		if view.Receipt != "" && !receiptSent {
			receiptSent = true
			_ = encoder.Encode(relayLine{Receipt: view.Receipt}) // a broken connection is detected by Flush
		}
		if view.Head != nil && !headSent {
			headSent = true
			_ = encoder.Encode(relayLine{Head: view.Head})
		}
		for _, part := range view.Parts {
			sent++
			_ = encoder.Encode(relayLine{Part: part})
		}
		if errors.Is(view.Err, errGivenUp) {
			unframed.Abort(request) // the reader goes on at the engine
		}
		if view.Ended {
			end := &relayEnd{Outcome: view.Outcome}
			if view.Err != nil {
				end.Code, end.Detail = errkind.Of(view.Err).Code, view.Err.Error()
			}
			_ = encoder.Encode(relayLine{End: end})
			return
		}
		if http.NewResponseController(writer).Flush() != nil {
			unframed.Abort(request)
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			unframed.Abort(request)
		}
	}
}

// awaitKnownState waits until a relayed answer has a state, for at most statusWait.
func awaitKnownState(ctx context.Context, ans *answer.Answer) {
	ctx, cancel := context.WithTimeout(ctx, statusWait)
	defer cancel()
	_, _ = ans.Await(ctx, 0, 0) // on a timeout the current state is reported
}

// forwardToTicketOwner forwards a call to the process that issued its ticket and
// writes the response. It returns false, without a response, if that is this
// process. The call is sent once: if it fails, its outcome is unknown.
func (n *Node) forwardToTicketOwner(writer http.ResponseWriter, request *http.Request, c *call) bool {
	ticket, err := n.openTicket(c.ticket, c.tenant.Name)
	if err != nil {
		n.writeError(writer, err, "", "")
		return true
	}
	if n.ownsTicket(&ticket) {
		return false
	}
	if request.Header.Get(HeaderForwarded) != "" {
		n.writeError(writer, errkind.New(errkind.OutcomeUnknown, "forward request: the process that issued its ticket has ended"), "", "")
		return true
	}
	forwarded, err := http.NewRequestWithContext(request.Context(), request.Method, "http://"+ticket.Address+request.URL.RequestURI(), bytes.NewReader(c.body))
	if err != nil {
		n.writeError(writer, errkind.Wrap(errkind.BadRequest, err), "", "")
		return true
	}
	forwarded.Header = request.Header.Clone()
	forwarded.Header.Set(HeaderForwarded, n.config.Name)
	sender := oneshot.Sender{Network: n.callerNetwork()}
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(n.working, cancel)()
	response, err := sender.Send(ctx, ticket.Address, forwarded)
	if err != nil {
		n.writeError(writer, errkind.New(errkind.OutcomeUnknown, "forward request to the process that issued its ticket: %v", err), "", "")
		return true
	}
	defer response.Body.Close()
	copyResponse(writer, request, response)
	return true
}

// copyResponse forwards a response as it arrives. If it breaks, the caller's
// connection is aborted.
func copyResponse(writer http.ResponseWriter, request *http.Request, response *http.Response) {
	header := writer.Header()
	for name, values := range forwardedHeader(response.Header) {
		header[name] = values
	}
	header.Set("Trailer", HeaderOutcome)
	unframed.Begin(request)
	writer.WriteHeader(response.StatusCode)
	chunk := make([]byte, serviceChunkBytes)
	for {
		count, err := response.Body.Read(chunk)
		_, _ = writer.Write(chunk[:count]) // a broken connection is detected by Flush
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || http.NewResponseController(writer).Flush() != nil {
			unframed.Abort(request)
		}
	}
	if outcome := response.Trailer.Get(HeaderOutcome); outcome != "" {
		header.Set(HeaderOutcome, outcome)
	}
	unframed.End(writer, request)
}
