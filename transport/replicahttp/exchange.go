package replicahttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/httphead"
)

// Request is a request to a replica.
type Request struct {
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if the request needs a Content-Length even if the body is empty.
	HasBody bool
	// IDHeader is the name of the header by which replicas echo the ID of a request. Answers with
	// another ID are skipped, and so are those without one on a connection that was used before.
	IDHeader string
	ID       string
	// AcceptsWithoutID reports whether an answer that does not echo the ID is returned all the same. It may be nil, for
	// none. Answers to requests without an ID need none.
	AcceptsWithoutID func(head *http.Response, isReused bool) bool
	// HeadLimits bound the heads that are read until the answer. Zero fields have the defaults.
	HeadLimits httphead.Limits
}

// Answer is the head of a replica's answer and its unread body. The caller must call Done or
// Abandon. Reads of the body end with io.EOF only if it is complete.
type Answer struct {
	*http.Response
	conn        *Conn
	pool        *Pool
	writeResult chan error
	stopCancel  func() bool
	complete    bool
	// IsUnframed is true if the body has neither a length nor chunks, so that only the close of the connection ends it.
	IsUnframed bool
}

// maxAnswerHeads bounds the heads that are read until the answer: provisional responses, answers to
// other requests and the answer itself.
const maxAnswerHeads = 3

// maxStrayBodyBytes bounds the body of a skipped answer.
const maxStrayBodyBytes = 1 << 20

// Exchange writes the request and reads the head of its answer. After an error, of kind
// OutcomeUnknown, the connection is reset and the request may have run; an *httphead.Error,
// ErrOnlyStrayAnswers or ErrNoID shows that the replica sent bytes that are no answer. The end of the
// context resets the connection.
func (p *Pool) Exchange(ctx context.Context, conn *Conn, request *Request) (*Answer, error) {
	answer := &Answer{conn: conn, pool: p, writeResult: make(chan error, 1)}
	conn.lastID = request.ID
	answer.stopCancel = context.AfterFunc(ctx, conn.abort)
	head := request.head()
	if len(request.Body) == 0 {
		_, err := conn.Write(head)
		answer.writeResult <- err
	} else {
		// The answer may arrive before the replica has read the body, so write and read run
		// concurrently.
		go func() {
			answer.writeResult <- conn.writeRequest(head, request.Body)
		}()
	}
	response, err := conn.readAnswer(request)
	if err != nil {
		answer.Abandon()
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err)
	}
	answer.Response = response
	answer.IsUnframed = answerend.IsUnframed(response)
	response.Body = &bodyReader{body: response.Body, answer: answer}
	return answer, nil
}

// maxCopiedBodyBytes bounds the bodies that are copied behind the head to be sent with it.
const maxCopiedBodyBytes = 64 << 10

// writeRequest writes the head and the body.
func (c *Conn) writeRequest(head, body []byte) error {
	if len(body) <= maxCopiedBodyBytes {
		head, body = append(head, body...), nil
	}
	_, err := c.Write(head)
	if err == nil && len(body) > 0 {
		_, err = c.Write(body)
	}
	return err
}

// ErrOnlyStrayAnswers means that the replica sent answers to other requests.
var ErrOnlyStrayAnswers = errors.New("read answer: the connection has only answers to other requests")

// ErrNoID means that the replica sent an answer that does not echo the ID of the request.
var ErrNoID = errors.New("read answer: it does not echo the ID of the request")

// readAnswer reads heads until one is that of an answer to the request.
func (c *Conn) readAnswer(request *Request) (*http.Response, error) {
	c.reader.Begin(request.HeadLimits.WithDefaults())
	missing := ErrOnlyStrayAnswers
	for range maxAnswerHeads {
		response, err := c.reader.ReadResponse(&http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		switch hasID := len(request.echoedIDs(response)) > 0; {
		case request.isAnsweredBy(response, c.Reused):
			return response, nil
		case !hasID && !c.Reused:
			// No earlier request can have left an answer, so no other one follows.
			return nil, ErrNoID
		case !hasID:
			missing = ErrNoID
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBodyBytes))
		if err != nil {
			return nil, err
		}
		if skipped == maxStrayBodyBytes || response.Close {
			break
		}
	}
	return nil, missing
}

// isAnsweredBy reports whether the head is that of an answer to the request, on a connection that earlier requests used
// or not.
func (r *Request) isAnsweredBy(head *http.Response, isReused bool) bool {
	echoed := r.echoedIDs(head)
	if len(echoed) == 0 {
		return r.ID == "" || r.AcceptsWithoutID != nil && r.AcceptsWithoutID(head, isReused)
	}
	return !slices.ContainsFunc(echoed, func(id string) bool { return id != r.ID })
}

// echoedIDs returns the IDs that the head echoes: mostly one.
func (r *Request) echoedIDs(head *http.Response) []string {
	return slices.DeleteFunc(slices.Clone(head.Header[r.IDHeader]), func(id string) bool { return id == "" })
}

// head returns the encoded request line and headers.
func (r *Request) head() []byte {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	if r.HasBody || len(r.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// bodyReader records whether the body was read to its end.
type bodyReader struct {
	body   io.ReadCloser
	answer *Answer
}

func (b *bodyReader) Read(into []byte) (int, error) {
	count, err := b.body.Read(into)
	if err == io.EOF {
		b.answer.complete = true
	}
	return count, err
}

func (b *bodyReader) Close() error { return nil }

// Done ends the exchange. It returns the connection to the pool if the answer was complete and no
// further bytes follow, and closes it otherwise.
func (a *Answer) Done() {
	if !a.stopCancel() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.pool.putIdle(a.conn, a.Header.Get("Keep-Alive"))
}

func (a *Answer) reusable() bool {
	if !a.complete || a.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	// If the replica read the whole body, its write has ended or is about to.
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case err := <-a.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

// writeEndTimeout is how long the end of an exchange waits for the write of the body. A write that
// takes longer is blocked, since the replica doesn't read the body.
const writeEndTimeout = 20 * time.Millisecond

// Abandon resets the connection, which cancels the request at the replica.
func (a *Answer) Abandon() {
	a.stopCancel()
	a.conn.abort()
}

// Ended reports whether the error of a read of the body means that the body is complete.
func (a *Answer) Ended(err error) bool { return err == io.EOF && a.complete }
